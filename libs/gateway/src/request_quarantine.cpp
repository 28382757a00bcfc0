// Requests that crash the servers that run them: what is reported of each request, and its refusal.
#include "active_request.h"

#include "request_outcome.h"

#include "amaranthdale/core/hash.h"

namespace amaranthdale::gateway {

using namespace detail;

namespace {

constexpr std::string_view blockedReason = "crashes-servers";

// Of the body, its length and this much of its beginning count. Large uploads would cost more time
// than the comparison is worth.
constexpr std::size_t maxComparedBytes = 64 * 1024;

} // namespace

// Requests with the same path, organisation and body are the same work, at any instance.
quarantine::Fingerprint ActiveRequest::fingerprint() const
{
    const core::HttpRequest &message = this->request.message;
    const std::string_view body = message.bodyText();
    std::uint64_t hash = core::stableHash(body.substr(0, maxComparedBytes), body.size());
    for (const std::string_view part :
         {std::string_view(message.method), std::string_view(this->request.host),
          std::string_view(message.target), std::string_view(this->caller.organisation.value)})
        hash = core::stableHash(part, hash);
    return hash;
}

std::optional<core::Duration> ActiveRequest::blockedFor() const
{
    const quarantine::CrashGuard *guard = this->gateway.crashGuard;
    if (guard == nullptr || !guard->isWatching())
        return std::nullopt;
    return guard->blockedFor(this->fingerprint());
}

void ActiveRequest::refuseBlocked(core::Duration remaining)
{
    this->gateway.stats.count("requests_blocked_total",
                              "service=\"" + Statistics::escapeLabelValue(this->service.value)
                                      + '"');
    this->refuse(remaining, std::string(blockedReason));
}

void ActiveRequest::refuseIfBlocked()
{
    std::optional<core::Duration> blocked;
    {
        // What the fingerprint is made of doesn't change while the request waits.
        std::lock_guard lock(this->mutex);
        if (this->finished || !this->waiting)
            return;
        blocked = this->blockedFor();
    }
    if (!blocked || !this->tryFinish(true))
        return;
    this->releaseSlot(balance::AttemptResult::Cancelled, {});
    this->deliver(this->makeRefusal(*blocked, std::string(blockedReason)));
}

// A server that is leaving closes its connections, and that is no crash.
void ActiveRequest::reportLost(const core::ServerName &from, std::uint64_t incarnation)
{
    quarantine::CrashGuard *guard = this->gateway.crashGuard;
    if (guard == nullptr || !this->gateway.withDirectory([&](const catalog::Directory &servers) {
            return servers.isUsable(from, incarnation);
        }))
        return;
    guard->onLost(this->fingerprint(), {from, incarnation});
}

void ActiveRequest::reportAnswered()
{
    quarantine::CrashGuard *guard = this->gateway.crashGuard;
    if (guard != nullptr && guard->isWatching())
        guard->onAnswered(this->fingerprint());
}

// Reports which of the servers that lost a connection have ended.
void Gateway::reportEndedServers()
{
    if (this->crashGuard == nullptr)
        return;
    const std::vector<quarantine::ServerRun> runs = this->crashGuard->unconfirmed();
    if (runs.empty())
        return;
    std::vector<quarantine::ServerRun> ended;
    std::vector<quarantine::ServerRun> leaving;
    this->directory.with([&](const catalog::Directory &servers) {
        for (const quarantine::ServerRun &run : runs) {
            const catalog::BackendServer *server = servers.find(run.server);
            if (server == nullptr || server->incarnation != run.incarnation)
                ended.push_back(run);
            else if (server->draining || server->leaving)
                leaving.push_back(run);
        }
    });
    for (const quarantine::ServerRun &run : ended)
        this->crashGuard->onServerEnded(run);
    for (const quarantine::ServerRun &run : leaving)
        this->crashGuard->onServerLeft(run);
}

void Gateway::refuseBlockedRequests()
{
    for (const auto &request : this->requests())
        request->refuseIfBlocked();
}

} // namespace amaranthdale::gateway
