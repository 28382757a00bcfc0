// Compares ways to hedge in a deterministic simulation: seven servers with four slots each, one of
// them slowed. Prints latencies and additional sends. Usage: benchmark_hedging
#include "amaranthdale/hedging/hedge_policy.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

using namespace amaranthdale;

namespace {

using core::Duration;
using core::TimePoint;
using Seconds = std::chrono::duration<double>;

constexpr std::size_t serverCount = 7;
constexpr unsigned slotsPerServer = 4;
constexpr unsigned requestCount = 200'000;
constexpr double hedgeRatio = 0.05;
constexpr Duration usualLatency = std::chrono::milliseconds(20); // Median time in a slot.
constexpr double spread = 0.35;                                  // Sigma of its logarithm.
constexpr Duration networkDelay = std::chrono::milliseconds(1);
constexpr std::uint32_t seed = 20261206;

const core::ServiceName service("stock");
const std::string route = "read";

enum class Way { None, FixedDelay, Quantile, Tied };

struct Conditions
{
    double load = 0.5; // Share of all slots in use on average, at usual speed.
    std::array<double, serverCount> slowdown{1, 1, 1, 1, 1, 1, 1};
    Duration fixedDelay{}; // For Way::FixedDelay.
};

struct Measured
{
    std::vector<Duration> latencies;
    unsigned sends = 0;
    double work = 0; // Time in slots, in seconds.
};

// One run. All choices are made from seeded generators, so that its result is always the same.
class Simulation
{
public:
    Simulation(Way chosenWay, const Conditions &given)
        : way(chosenWay), conditions(given), policy(hedgeRatio), arrivals(seed), work(seed + 1),
          choice(seed + 2)
    {
        this->policy.setInstances(1);
    }

    Measured run()
    {
        const double meanWork = Seconds(usualLatency).count() * std::exp(spread * spread / 2);
        const double rate = this->conditions.load * serverCount * slotsPerServer / meanWork;
        boost::random::exponential_distribution<double> gap(rate);
        TimePoint next = this->now;
        for (unsigned number = 0; number < requestCount; ++number) {
            next += std::chrono::duration_cast<Duration>(Seconds(gap(this->arrivals)));
            this->at(next, [this] { this->arrive(); });
            // Only as many events as necessary are kept.
            while (!this->events.empty() && this->events.top().time <= next)
                this->step();
        }
        while (!this->events.empty())
            this->step();
        return std::move(this->measured);
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(this->time, this->number) > std::pair(other.time, other.number);
        }
    };

    struct Request
    {
        TimePoint arrived{};
        bool answered = false;
        bool started = false; // In a slot; for tied requests.
        bool delayExceeded = false;
        std::size_t first = 0; // Server of the first attempt.
        unsigned attempts = 0;
    };

    struct Attempt
    {
        std::shared_ptr<Request> request;
        std::size_t server = 0;
        bool isHedge = false;
        bool cancelled = false;
        bool running = false;
        TimePoint startedAt{};
    };

    struct Server
    {
        unsigned running = 0;
        std::deque<std::shared_ptr<Attempt>> queue;
        unsigned inFlight = 0;
    };

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({time, ++this->lastEvent, std::move(action)});
    }

    void step()
    {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.time;
        event.action();
    }

    // The better of two random servers, as with balancers whose reports are delayed.
    std::size_t pick(std::size_t excluded)
    {
        boost::random::uniform_int_distribution<std::size_t> any(0, serverCount - 1);
        std::size_t best = excluded;
        for (unsigned drawn = 0; drawn < 2;) {
            const std::size_t candidate = any(this->choice);
            if (candidate == excluded)
                continue;
            ++drawn;
            if (best == excluded
                || this->servers[candidate].inFlight < this->servers[best].inFlight)
                best = candidate;
        }
        return best;
    }

    void arrive()
    {
        auto request = std::make_shared<Request>();
        request->arrived = this->now;
        request->first = this->pick(serverCount);
        this->policy.onRequest(route, this->now);
        auto first = this->send(request, request->first, false);
        std::optional<Duration> delay;
        if (this->way == Way::FixedDelay)
            delay = this->conditions.fixedDelay;
        if (this->way == Way::Quantile)
            delay = this->policy.delay(route, 1, this->now);
        if (this->way == Way::Tied) {
            auto second = this->send(request, this->pick(request->first), true);
            this->siblings[first.get()] = second;
            this->siblings[second.get()] = first;
        }
        if (delay)
            this->at(this->now + *delay, [this, request, first] { this->hedge(request, first); });
    }

    void hedge(const std::shared_ptr<Request> &request, const std::shared_ptr<Attempt> &first)
    {
        if (request->answered)
            return;
        request->delayExceeded = true;
        const std::size_t server = this->pick(request->first);
        if (this->way == Way::Quantile) {
            this->policy.onDelayExceeded(route, this->now);
            if (this->servers[server].inFlight >= slotsPerServer
                || this->policy.tryTake(route, service, this->now)
                        != hedging::HedgeDecision::Granted)
                return;
        }
        auto second = this->send(request, server, true);
        this->siblings[first.get()] = second;
        this->siblings[second.get()] = first;
    }

    std::shared_ptr<Attempt> send(const std::shared_ptr<Request> &request, std::size_t server,
                                  bool isHedge)
    {
        auto attempt = std::make_shared<Attempt>();
        attempt->request = request;
        attempt->server = server;
        attempt->isHedge = isHedge;
        ++request->attempts;
        ++this->measured.sends;
        ++this->servers[server].inFlight;
        this->at(this->now + networkDelay, [this, attempt] {
            this->servers[attempt->server].queue.push_back(attempt);
            this->startNext(attempt->server);
        });
        return attempt;
    }

    void startNext(std::size_t number)
    {
        Server &server = this->servers[number];
        while (server.running < slotsPerServer && !server.queue.empty()) {
            const auto attempt = server.queue.front();
            server.queue.pop_front();
            if (attempt->cancelled) {
                this->forget(attempt);
                continue;
            }
            if (this->way == Way::Tied)
                this->cancelSibling(attempt); // Servers tell each other; arrives a moment later.
            ++server.running;
            attempt->running = true;
            attempt->startedAt = this->now;
            boost::random::lognormal_distribution<double> time(
                    std::log(Seconds(usualLatency).count()), spread);
            const Duration taken = std::chrono::duration_cast<Duration>(
                    Seconds(time(this->work) * this->conditions.slowdown[number]));
            this->at(this->now + taken, [this, attempt] {
                if (attempt->running)
                    this->finish(attempt);
            });
        }
    }

    void finish(const std::shared_ptr<Attempt> &attempt)
    {
        this->leaveSlot(attempt);
        this->at(this->now + networkDelay, [this, attempt] { this->deliver(attempt); });
    }

    void leaveSlot(const std::shared_ptr<Attempt> &attempt)
    {
        attempt->running = false;
        this->measured.work += Seconds(this->now - attempt->startedAt).count();
        --this->servers[attempt->server].running;
        this->startNext(attempt->server);
    }

    void deliver(const std::shared_ptr<Attempt> &attempt)
    {
        Request &request = *attempt->request;
        if (!request.answered) {
            request.answered = true;
            this->measured.latencies.push_back(this->now - request.arrived);
            this->policy.onLatency(route, this->now - request.arrived, 1, request.delayExceeded,
                                   this->now);
            if (request.attempts > 1 && this->way != Way::Tied)
                this->policy.onHedgeEnd(route, attempt->isHedge, this->now);
            this->cancelSibling(attempt);
        }
        this->forget(attempt);
    }

    void cancelSibling(const std::shared_ptr<Attempt> &attempt)
    {
        const auto found = this->siblings.find(attempt.get());
        if (found == this->siblings.end())
            return;
        const auto sibling = found->second;
        this->siblings.erase(found);
        this->siblings.erase(sibling.get());
        this->at(this->now + networkDelay, [this, sibling, winner = attempt] {
            // Two tied attempts that started within one network delay both run.
            if (this->way == Way::Tied && winner->running && sibling->running)
                return;
            sibling->cancelled = true;
            if (!sibling->running)
                return; // Waits in the queue, or its response is on the way.
            this->leaveSlot(sibling);
            this->forget(sibling);
        });
    }

    void forget(const std::shared_ptr<Attempt> &attempt)
    {
        --this->servers[attempt->server].inFlight;
    }

    const Way way;
    const Conditions conditions;
    hedging::HedgePolicy policy;
    boost::random::mt19937 arrivals;
    boost::random::mt19937 work;
    boost::random::mt19937 choice;
    TimePoint now{std::chrono::hours(1)};
    std::uint64_t lastEvent = 0;
    std::priority_queue<Event> events;
    std::array<Server, serverCount> servers;
    std::map<const Attempt *, std::shared_ptr<Attempt>> siblings;
    Measured measured;
};

void report(const char *name, Measured result)
{
    std::sort(result.latencies.begin(), result.latencies.end());
    const auto quantile = [&](double share) {
        const auto index =
                static_cast<std::size_t>(share * static_cast<double>(result.latencies.size() - 1));
        return Seconds(result.latencies[index]).count() * 1000;
    };
    std::printf("  %-22s %8.1f %8.1f %8.1f %9.2f%% %9.0f\n", name, quantile(0.5), quantile(0.99),
                quantile(0.999),
                100.0 * (result.sends - static_cast<double>(requestCount)) / requestCount,
                result.work);
}

void compare(const char *title, Conditions conditions)
{
    std::printf("%s\n  %-22s %8s %8s %8s %10s %9s\n", title, "way", "p50 ms", "p99 ms", "p99.9 ms",
                "extra", "slot s");
    report("none", Simulation(Way::None, conditions).run());
    for (const int delay : {30, 60}) {
        conditions.fixedDelay = std::chrono::milliseconds(delay);
        const std::string name = "fixed delay " + std::to_string(delay) + " ms";
        report(name.c_str(), Simulation(Way::FixedDelay, conditions).run());
    }
    report("quantile, 5%", Simulation(Way::Quantile, conditions).run());
    report("tied requests", Simulation(Way::Tied, conditions).run());
}

} // namespace

int main()
{
    Conditions conditions;
    compare("all servers at usual speed, half loaded", conditions);
    conditions.slowdown[0] = 3;
    compare("one of seven servers three times slower, half loaded", conditions);
    conditions.slowdown.fill(1.6);
    compare("all servers 1.6 times slower, slots 80% in use", conditions);
}
