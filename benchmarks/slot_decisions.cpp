// Cost of one slot decision: a release and the next request, with a full pool and a given number of
// requests in its queue. Prints microseconds with shares off and on, and their ratio.
#include "amaranthdale/balance/slot_pool.h"

#include <chrono>
#include <cstdio>
#include <optional>
#include <string>

using namespace amaranthdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int organisations = 20;
constexpr unsigned slots = 6;

balance::Demand makeDemand(balance::Ticket ticket, core::TimePoint now)
{
    balance::Demand demand;
    const unsigned route = ticket % 3;
    demand.route = "route" + std::to_string(route);
    demand.priority = route;
    // Far away, so that the queue keeps its length.
    demand.targetLatency = seconds(100'000);
    demand.deadline = now + seconds(200'000);
    demand.owner = core::ServerName("owner");
    demand.organisation = core::OrganisationName("brand" + std::to_string(ticket % organisations));
    return demand;
}

// Marks the pool as short. Needed once, since none of the requests would be late.
class Short : public admission::AdmissionPolicy
{
public:
    explicit Short(const admission::AdmissionOptions &options)
        : policy(admission::makeSharePolicy(options))
    { }

    admission::Arrival arrive(const admission::Applicant &applicant, core::TimePoint now) override
    {
        return this->policy->arrive(applicant, now);
    }
    std::optional<std::size_t> selectNext(std::span<const admission::WaitingRequest> waiting,
                                          core::TimePoint now) const override
    {
        return this->policy->selectNext(waiting, now);
    }
    void onGranted(const admission::WaitingRequest &request, core::TimePoint now) override
    {
        this->policy->onGranted(request, now);
    }
    admission::Verdict judge(const admission::WaitingRequest &request,
                             std::span<const admission::WaitingRequest> waiting, double poolSlots,
                             core::TimePoint now) override
    {
        this->policy->judge(request, waiting, poolSlots, now);
        return {request.mayWait, milliseconds(50)};
    }
    std::vector<admission::RouteShare> shares(core::TimePoint now) const override
    {
        return this->policy->shares(now);
    }

private:
    std::unique_ptr<admission::AdmissionPolicy> policy;
};

double measure(bool enabled, unsigned queued)
{
    balance::SlotPoolLimits limits;
    limits.admission.shortageHold = seconds(1'000'000);
    auto pool = enabled ? balance::SlotPool(1, limits, std::make_unique<Short>(limits.admission))
                        : balance::SlotPool(1, limits);
    catalog::BackendServer server;
    server.name = core::ServerName("owner");
    server.slots = slots;
    const core::TimePoint now{seconds(1000)};
    pool.setService({});
    pool.setServers({server}, now);
    std::optional<balance::Ticket> granted;
    const auto dispatch = [&] {
        for (const balance::TicketDecision &decision : pool.dispatch(now)) {
            if (std::holds_alternative<core::ServerName>(decision.decision))
                granted = decision.ticket;
        }
    };
    balance::Ticket ticket = 0;
    const auto request = [&] {
        ++ticket;
        pool.request(ticket, makeDemand(ticket, now), {}, true, now);
        dispatch();
    };
    // Response times of the routes; without them, a part of the target latency is expected.
    for (unsigned count = 0; count < 3; ++count) {
        request();
        pool.release(*granted, balance::AttemptResult::Answered, milliseconds(500), {}, now);
    }
    for (unsigned count = 0; count <= slots; ++count)
        request();
    if (enabled) {
        balance::Demand late = makeDemand(++ticket, now);
        late.targetLatency = milliseconds(1);
        pool.request(ticket, late, {}, true, now);
        dispatch();
    }
    for (unsigned count = 0; pool.waiting() < queued && count < 2 * queued; ++count)
        request();
    const unsigned rounds = 200'000 / (queued + 50);
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned round = 0; round < rounds; ++round) {
        pool.release(*granted, balance::AttemptResult::Answered, milliseconds(500), {}, now);
        dispatch();
        request();
    }
    const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - begin;
    if (pool.waiting() != queued || (enabled && !pool.isShort(now)))
        std::printf("the queue has changed: %zu\n", pool.waiting());
    return elapsed.count() / (2 * rounds);
}

} // namespace

int main()
{
    std::printf("%8s %10s %10s %6s\n", "queued", "off us", "on us", "ratio");
    for (const unsigned queued : {10U, 100U, 1000U}) {
        double off = measure(false, queued);
        double on = measure(true, queued);
        for (int repeat = 0; repeat < 4; ++repeat) {
            off = std::min(off, measure(false, queued));
            on = std::min(on, measure(true, queued));
        }
        std::printf("%8u %10.2f %10.2f %6.2f\n", queued, off, on, on / off);
    }
}
