// Simulated servers for the benchmark of request decisions.
#pragma once

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/decisions/concurrency_limit.h"
#include "amaranthdale/decisions/retry_policy.h"
#include "amaranthdale/decisions/server_selector.h"

#include <boost/random/exponential_distribution.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::benchmark {

using namespace amaranthdale::decisions;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t seed = 20261204;
inline constexpr LimitBounds fourSlots{1, 4};
inline constexpr core::Duration meanServiceTime = milliseconds(5);

// A server that processes up to `capacity` requests concurrently at full speed, slows down beyond
// that, and counts the requests that it started while overloaded.
struct SimulatedServer
{
    unsigned capacity = 4;
    double slowdown = 1;
    unsigned running = 0;
    unsigned maxRunning = 0;
    unsigned overloaded = 0; // Requests started above `capacity`.
    std::uint64_t started = 0;

    // Starts a request and returns its service time: half fixed, half exponentially distributed.
    core::Duration begin(RandomSource &random)
    {
        ++this->running;
        ++this->started;
        this->maxRunning = std::max(this->maxRunning, this->running);
        this->overloaded += this->running > this->capacity ? 1 : 0;
        const double excess = std::max(1.0, static_cast<double>(this->running) / this->capacity);
        const double exponential = boost::random::exponential_distribution<double>(1.0)(random);
        const double factor = (0.5 + 0.5 * exponential) * excess * excess * this->slowdown;
        return std::chrono::duration_cast<core::Duration>(meanServiceTime * factor);
    }
};

// Seven servers behind one entry instance, with an arrival rate of about 60 % of their capacity.
// Each server processes four requests concurrently and queues the rest. A queued copy of a hedged
// request is dropped once another copy was answered.
class FleetSimulation
{
public:
    FleetSimulation(const ServerSelector &serverSelector, core::Duration reportDelay, bool hedging)
        : selector(serverSelector), reportLag(reportDelay)
    {
        if (hedging)
            this->hedge = std::make_unique<QuantileHedge>(this->budget);
        for (std::size_t index = 0; index < this->servers.size(); ++index) {
            this->views[index].name = core::ServerName(std::to_string(index));
            this->views[index].controllerKnown = true;
            this->views[index].limit = fourSlots.requestSlots;
        }
    }

    void run(core::Duration duration)
    {
        const core::TimePoint end = this->clock.now() + duration;
        this->report();
        while (this->clock.now() < end) {
            this->arrive();
            this->clock.advance(microseconds(300));
        }
    }

    double extraLoad() const
    {
        return 100.0 * this->hedgesSent / static_cast<double>(this->requests);
    }

    // Highest number of requests started by one server, divided by the mean over all servers.
    double imbalance() const
    {
        std::uint64_t highest = 0;
        std::uint64_t all = 0;
        for (const SimulatedServer &server : this->servers) {
            highest = std::max(highest, server.started);
            all += server.started;
        }
        return static_cast<double>(highest * this->servers.size()) / static_cast<double>(all);
    }

    unsigned maxQueueLength() const { return this->longestQueue; }

    std::vector<SimulatedServer> servers = std::vector<SimulatedServer>(7);
    std::vector<core::Duration> latencies;

private:
    struct Call
    {
        RequestInfo request;
        core::TimePoint startedAt;
        bool answered = false;
    };

    void report()
    {
        const core::TimePoint now = this->clock.now();
        for (std::size_t index = 0; index < this->servers.size(); ++index) {
            const double load = this->views[index].sentSince / double(fourSlots.requestSlots);
            this->clock.schedule(now + this->reportLag,
                                 [this, index, load] { this->views[index].reportedLoad = load; });
        }
        this->clock.schedule(now + milliseconds(100), [this] { this->report(); });
    }

    void arrive()
    {
        const auto call = std::make_shared<Call>();
        call->request.idempotent = true;
        call->request.deadline = this->clock.now() + seconds(2);
        call->startedAt = this->clock.now();
        ++this->requests;
        this->budget.firstAttempt();
        const core::ServerName first = this->send(call, {});
        const auto delay = this->hedge->delayFor(call->request, false, this->clock.now());
        if (!delay)
            return;
        this->clock.schedule(this->clock.now() + *delay, [this, call, first] {
            if (call->answered || !this->hedge->tryHedge())
                return;
            ++this->hedgesSent;
            this->send(call, first);
        });
    }

    core::ServerName send(const std::shared_ptr<Call> &call, const core::ServerName &excluded)
    {
        const auto chosen =
                this->selector.choose(this->views, excluded, this->clock.now(), this->random);
        ++this->views[*chosen].sentSince;
        this->longestQueue = std::max(this->longestQueue, this->views[*chosen].sentSince);
        this->queues[*chosen].push_back(call);
        this->beginNext(*chosen);
        return this->views[*chosen].name;
    }

    void beginNext(std::size_t index)
    {
        std::deque<std::shared_ptr<Call>> &queue = this->queues[index];
        while (!queue.empty() && this->servers[index].running < fourSlots.requestSlots) {
            const std::shared_ptr<Call> call = queue.front();
            queue.pop_front();
            if (call->answered) {
                --this->views[index].sentSince;
                continue;
            }
            const core::Duration time = this->servers[index].begin(this->random);
            this->clock.schedule(this->clock.now() + time,
                                 [this, call, index] { this->end(call, index); });
        }
    }

    void end(const std::shared_ptr<Call> &call, std::size_t index)
    {
        --this->servers[index].running;
        // All requests in flight at the server come from this instance, so there is no other load
        // to observe.
        --this->views[index].sentSince;
        this->views[index].observedAt = this->clock.now();
        this->beginNext(index);
        if (call->answered)
            return;
        call->answered = true;
        const core::Duration latency = this->clock.now() - call->startedAt;
        this->latencies.push_back(latency);
        this->hedge->recordLatency(latency);
    }

    const ServerSelector &selector;
    core::Duration reportLag;
    clock::ManualClock clock;
    RandomSource random{seed};
    RetryBudget budget;
    std::unique_ptr<HedgePolicy> hedge = std::make_unique<NoHedge>();
    std::vector<ServerView> views = std::vector<ServerView>(7);
    std::vector<std::deque<std::shared_ptr<Call>>> queues{7};
    unsigned longestQueue = 0; // Includes requests in process.
    std::uint64_t requests = 0;
    std::uint64_t hedgesSent = 0;
};

} // namespace amaranthdale::benchmark
