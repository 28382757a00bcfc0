// First steps of a request: route, caller and service, and the wait for them just after the start
// of the instance.
#include "active_request.h"

#include "request_outcome.h"

#include <algorithm>

namespace amaranthdale::gateway {

using namespace detail;

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned notFound = 404;

constexpr auto noConfigurationRetryAfter = std::chrono::milliseconds(500);

std::size_t sizeOf(const core::HttpRequest &message)
{
    std::size_t bytes = message.target.size() + message.bodyText().size();
    for (const core::Header &header : message.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

void ActiveRequest::start(core::HttpRequest message)
{
    this->demand.arrived = this->gateway.clock.now();
    auto decoded = this->gateway.wireFormat.decodeRequest(std::move(message));
    if (!decoded)
        return this->fail(badRequest, decoded.error().message);
    this->request = std::move(*decoded);
    if (this->gateway.stopping)
        return this->refuse(stoppingRetryAfter, "stopping");
    this->selectRoute();
}

void ActiveRequest::selectRoute()
{
    const core::TimePoint arrived = this->demand.arrived;
    const core::Duration callerTimeout =
            this->request.timeout.value_or(this->gateway.limits.defaultTimeout);
    if (this->awaitStartup(StartupNeed::Configuration, arrived + callerTimeout,
                           &ActiveRequest::selectRoute))
        return;
    const Configuration configuration = this->gateway.currentConfiguration();
    this->table = configuration.routes;
    if (!this->table)
        return this->refuse(noConfigurationRetryAfter, "no-configuration");
    this->route = this->table->find(this->request.host, this->request.path);
    if (this->route == nullptr)
        return this->fail(notFound, "no-route");
    const core::Duration timeout = std::min(callerTimeout, this->route->timeout);
    if (this->awaitStartup(StartupNeed::Confirmation, arrived + timeout,
                           &ActiveRequest::selectRoute))
        return;
    if (!this->identifyCaller(configuration))
        return;
    this->demand = Gateway::makeDemand(
            *this->route, this->caller.priority.value_or(this->route->priority), timeout, arrived);
    this->scheduleDeadline(this->demand.deadline, &ActiveRequest::onDeadline);
    this->awaitServers();
}

// Continues with the request when any server is known.
void ActiveRequest::awaitServers()
{
    if (this->awaitStartup(StartupNeed::Servers, this->demand.deadline,
                           &ActiveRequest::awaitServers))
        return;
    this->endStartupWait();
    const core::TimePoint now = this->gateway.clock.now();
    this->ownerWaitEnd = now
            + std::min<core::Duration>(this->gateway.limits.maxOwnerWait,
                                       (this->demand.deadline - now) / 2);
    this->takeQuota();
}

void ActiveRequest::selectService()
{
    this->service = this->gateway.chooseService(*this->route);
    const double work = this->gateway.countRequest(this->service, this->route->name);
    const catalog::Service *configured = this->table->service(this->service);
    this->keyedService = configured != nullptr && configured->keyed;
    if (configured != nullptr && !configured->keyed)
        this->request.key.reset();
    if (this->request.key) {
        this->gateway.countKey(this->service, *this->request.key, work);
        this->extendOwnerWait();
    }
    this->startHedging();
    this->startAttempt();
}

// The first assignment of a service may take longer than a change of owner.
void ActiveRequest::extendOwnerWait()
{
    if (!this->lacks(StartupNeed::Assignment))
        return;
    if (const auto until = this->admitStartupWait(this->demand.deadline))
        this->ownerWaitEnd = std::max(this->ownerWaitEnd, *until);
}

// Whether this instance, which has just started, doesn't know yet what the request needs.
bool ActiveRequest::lacks(StartupNeed need) const
{
    const Gateway &known = this->gateway;
    if (known.clock.now() >= known.startupEnd)
        return false;
    switch (need) {
    case StartupNeed::Configuration:
        return !known.configured;
    case StartupNeed::Confirmation: {
        const core::TimePoint now = known.clock.uptime();
        return this->table->organisations() && !this->route->isPublic
                && !known.configurationAge.age(now) && !known.configurationAge.isCurrent(now);
    }
    case StartupNeed::Servers:
        return known.withDirectory(
                [](const catalog::Directory &servers) { return servers.size() == 0; });
    case StartupNeed::Assignment:
        return known.ownership.with([this](const auto &services) {
            const auto found = services.find(this->service);
            return found == services.end() || found->second.assignment == nullptr;
        });
    }
    return false;
}

std::optional<core::TimePoint> ActiveRequest::admitStartupWait(core::TimePoint deadline)
{
    const StartupRequest candidate{this->number, sizeOf(this->request.message),
                                   this->demand.arrived, deadline};
    const core::TimePoint now = this->gateway.clock.now();
    const auto until = this->gateway.startupWaits.with(
            [&](StartupWaits &waits) { return waits.admit(candidate, now); });
    if (!this->awaitedStartup.exchange(true))
        this->gateway.stats.count("startup_waits_total",
                                  until ? "admitted=\"true\"" : "admitted=\"false\"");
    if (this->isFinished())
        this->endStartupWait();
    return until;
}

void ActiveRequest::endStartupWait()
{
    if (this->awaitedStartup)
        this->gateway.startupWaits.with(
                [this](StartupWaits &waits) { waits.remove(this->number); });
}

// True if the request waits. `step` then continues it at the next change of a table, and when its
// wait is over.
bool ActiveRequest::awaitStartup(StartupNeed need, core::TimePoint deadline,
                                 void (ActiveRequest::*step)())
{
    if (!this->lacks(need) || this->gateway.sendingStopped)
        return false;
    const auto until = this->admitStartupWait(deadline);
    if (!until)
        return false;
    this->beginWaiting();
    const unsigned waitGeneration = ++this->generation;
    // The timer holds no reference: a request that has ended gives its memory back at once.
    const auto proceed = [weak = this->weak_from_this(), waitGeneration, step] {
        const auto self = weak.lock();
        if (!self)
            return;
        {
            std::lock_guard lock(self->mutex);
            if (self->finished || self->generation != waitGeneration)
                return;
            ++self->generation;
            self->waiting = false;
        }
        self->gateway.removeWaiter(self->number);
        (self.get()->*step)();
    };
    clock::Clock &timers = this->gateway.clock;
    timers.schedule(*until, proceed);
    // Holds the request while it waits.
    this->gateway.addWaiter(this->number, [self = this->shared_from_this(), proceed, &timers] {
        timers.schedule(timers.now(), [self, proceed] { proceed(); });
    });
    // What is waited for may have come, or the request may have ended, before the waiter was added.
    if (this->gateway.sendingStopped)
        this->refuseIfWaiting();
    if (this->isFinished())
        this->gateway.removeWaiter(this->number);
    else if (!this->lacks(need))
        timers.schedule(timers.now(), proceed);
    return true;
}

} // namespace amaranthdale::gateway
