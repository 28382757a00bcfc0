// Compares concurrency limits, hedging and server selection on simulated servers with a manual
// clock and a fixed seed, and measures the real time of one dispatcher call.
#include "amaranthdale/decisions/server_dispatcher.h"
#include "fleet_simulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::benchmark;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::Duration reportLag = milliseconds(500);

double toMilliseconds(core::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

core::Duration quantile(std::vector<core::Duration> values, double fraction)
{
    const auto position =
            static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

// One dispatcher in front of one server, under a constant arrival rate above the server's capacity.
class LimitSimulation
{
public:
    explicit LimitSimulation(std::unique_ptr<ConcurrencyLimit> limit)
        : dispatcher(DispatcherOptions{}, std::move(limit),
                     std::make_shared<tables::Guarded<CrashFilter>>(tables::LockRank::Requests))
    {
        this->dispatcher.startSlot(0, core::LogOffset(0), true, this->clock.now());
        this->dispatcher.authorityGained(this->clock.now());
    }

    void runFor(core::Duration duration)
    {
        const core::TimePoint end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            this->arrive();
            this->execute(this->dispatcher.tick(this->clock.now()));
            this->clock.advance(milliseconds(1));
        }
    }

    // Reports the server's load every 100 ms; each report arrives after `lag`.
    void reportLoad(core::Duration lag)
    {
        const LoadReport report{core::Incarnation(1), this->server.running,
                                double(this->server.running) / this->server.capacity};
        this->clock.schedule(this->clock.now() + lag, [this, report] {
            this->execute(this->dispatcher.reportReceived(report, this->clock.now()));
        });
        this->clock.schedule(this->clock.now() + milliseconds(100),
                             [this, lag] { this->reportLoad(lag); });
    }

    // Time until the limit is at most `bound`, or `maxTime` if that doesn't happen.
    core::Duration timeToReduceTo(unsigned bound, core::Duration maxTime)
    {
        const core::TimePoint begin = this->clock.now();
        while (this->dispatcher.load(this->clock.now()).limit > bound) {
            if (this->clock.now() - begin >= maxTime)
                return maxTime;
            this->runFor(milliseconds(1));
        }
        return this->clock.now() - begin;
    }

    // Time until the limit is at least `bound`, or `maxTime` if that doesn't happen.
    core::Duration timeToIncreaseTo(unsigned bound, core::Duration maxTime)
    {
        const core::TimePoint begin = this->clock.now();
        while (this->dispatcher.load(this->clock.now()).limit < bound
               && this->clock.now() - begin < maxTime)
            this->runFor(milliseconds(1));
        return this->clock.now() - begin;
    }

    SimulatedServer server;
    clock::ManualClock clock;

private:
    void arrive()
    {
        RequestInfo request;
        request.idempotent = true;
        request.anyServer = true;
        request.fingerprint = 1;
        request.deadline = this->clock.now() + milliseconds(100);
        this->execute(this->dispatcher.arrive(request, this->clock.now()).actions);
    }

    void execute(const Actions &actions)
    {
        for (const Action &action : actions) {
            const auto *send = std::get_if<SendRequest>(&action);
            if (!send)
                continue;
            const Ticket ticket = send->ticket;
            const core::Duration time = this->server.begin(this->random);
            this->clock.schedule(this->clock.now() + time, [this, ticket] {
                --this->server.running;
                this->execute(this->dispatcher.completed(ticket, {}, this->clock.now()));
            });
        }
    }

    RandomSource random{seed};
    ServerDispatcher dispatcher;
};

using LimitFactory = std::function<std::unique_ptr<ConcurrencyLimit>()>;

void compareLimits(const char *name, const LimitFactory &makeLimit, bool reports)
{
    // The server sustains one concurrent request for the whole 10 s.
    LimitSimulation cold(makeLimit());
    cold.server.capacity = 1;
    if (reports)
        cold.reportLoad(reportLag);
    cold.runFor(seconds(10));
    const unsigned maxRunning = cold.server.maxRunning;
    const double overloaded =
            100.0 * cold.server.overloaded / static_cast<double>(cold.server.started);

    LimitSimulation straggler(makeLimit());
    if (reports)
        straggler.reportLoad(reportLag);
    straggler.runFor(seconds(20));
    straggler.server.slowdown = 10;
    const core::Duration reduction = straggler.timeToReduceTo(1, seconds(2));
    straggler.runFor(seconds(2));
    straggler.server.slowdown = 1;
    const core::Duration recovery = straggler.timeToIncreaseTo(4, seconds(60));
    std::printf("%-24s %12u %12.1f %10.0f %12.0f\n", name, maxRunning, overloaded,
                toMilliseconds(reduction), toMilliseconds(recovery));
}

void compareHedging(const char *name, bool hedging, double slowdown)
{
    const TwoChoices selector;
    FleetSimulation run(selector, seconds(2), hedging);
    run.servers.front().slowdown = slowdown;
    run.run(seconds(30));
    std::printf("%-14s %10.0fx %10.2f %10.2f %12.1f\n", name, slowdown,
                toMilliseconds(quantile(run.latencies, 0.5)),
                toMilliseconds(quantile(run.latencies, 0.99)), run.extraLoad());
}

void compareSelectors(const char *name, const ServerSelector &selector)
{
    FleetSimulation run(selector, seconds(2), false);
    run.run(seconds(30));
    std::printf(
            "%-14s %10.2f %10.2f %10.3f %12u\n", name, toMilliseconds(quantile(run.latencies, 0.5)),
            toMilliseconds(quantile(run.latencies, 0.99)), run.imbalance(), run.maxQueueLength());
}

// Mean real time of one dispatcher call, over arrivals and completions in equal number.
double nanosecondsPerDecision(bool idempotent)
{
    constexpr int rounds = 200'000;
    DispatcherOptions options;
    options.ledger.maxEntries = rounds;
    ServerDispatcher dispatcher(
            options, std::make_unique<FixedRamp>(fourSlots, seconds(1), core::TimePoint()),
            std::make_shared<tables::Guarded<CrashFilter>>(tables::LockRank::Requests));
    core::TimePoint now{std::chrono::hours(1)};
    dispatcher.replayed(core::LogOffset(1), now);
    dispatcher.startSlot(0, core::LogOffset(1), true, now);
    dispatcher.authorityGained(now);
    RandomSource random(seed);
    std::vector<RequestInfo> requests(rounds);
    for (RequestInfo &request : requests) {
        request.id = makeIssuedId(core::LogOffset(1), random);
        request.idempotent = idempotent;
        request.deadline = now + std::chrono::hours(1);
    }
    Completion completion;
    completion.response = StoredResponse{};
    const auto begin = std::chrono::steady_clock::now();
    for (const RequestInfo &request : requests) {
        now += microseconds(100);
        const Arrival arrival = dispatcher.arrive(request, now);
        dispatcher.completed(arrival.ticket, completion, now);
    }
    const std::chrono::duration<double, std::nano> elapsed =
            std::chrono::steady_clock::now() - begin;
    return elapsed.count() / (2.0 * rounds);
}

} // namespace

int main()
{
    std::printf("limit, 4 slots, server sustains 1 while cold, straggler 10x\n");
    std::printf("%-24s %12s %12s %10s %12s\n", "", "cold highest", "overload %", "cut ms",
                "recovery ms");
    const core::TimePoint start = clock::ManualClock().now();
    const LimitFactory adaptive = [&] { return std::make_unique<AdaptiveLimit>(fourSlots, start); };
    const LimitFactory ramp = [&] {
        return std::make_unique<FixedRamp>(fourSlots, seconds(2), start);
    };
    compareLimits("AdaptiveLimit", adaptive, false);
    compareLimits("AdaptiveLimit, reports", adaptive, true);
    compareLimits("FixedRamp", ramp, false);

    std::printf("\nhedging, 1 of 7 servers slowed\n");
    std::printf("%-14s %11s %10s %10s %12s\n", "", "slowed", "p50 ms", "p99 ms", "extra load %");
    for (const double slowdown : {1.0, 10.0}) {
        compareHedging("off", false, slowdown);
        compareHedging("on", true, slowdown);
    }

    std::printf("\nselection, 7 equal servers, reports late by 2 s\n");
    std::printf("%-14s %10s %10s %10s %12s\n", "", "p50 ms", "p99 ms", "max/mean", "longest");
    compareSelectors("two choices", TwoChoices());
    compareSelectors("reported load", LeastReportedLoad());

    std::printf("\ndispatcher, ns per decision (arrive or completed)\n");
    std::printf("%-14s %10.0f\n", "idempotent", nanosecondsPerDecision(true));
    std::printf("%-14s %10.0f\n", "payment", nanosecondsPerDecision(false));
}
