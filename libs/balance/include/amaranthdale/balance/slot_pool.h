// Hands out the request slots of backend servers whose requests all come by way of one instance.
//
// Answers days on which load meets few slots: many senders that each know only their own requests
// fill some servers' queues while others stand idle, and find out about a hot key's owner one by
// one. A pool knows the exact number of requests at each server, lets further ones wait in order of
// urgency, and refuses at once what would come too late.
#pragma once

#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/balance/service_balancer.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::balance {

/// Identifies a request to a pool; chosen by the pool's user.
using Ticket = std::uint64_t;

/// What becomes of a request: the server that it may be sent to, or a refusal.
using SlotDecision = std::variant<core::ServerName, Refuse>;

/// A decision that is due.
struct SlotVerdict
{
    Ticket ticket = 0;
    SlotDecision decision;
};

struct SlotPoolLimits
{
    /// Requests at a server beyond its slots, so that none stands idle while an answer and the next
    /// request are on their way.
    unsigned headroom = 1;
    /// A slot whose release was lost is free again after this many times the expected time.
    double expiryFactor = 4;
    core::Duration leastExpiry = std::chrono::milliseconds(500);
    /// Part of the rate that a cold server sustains. Instances that disagree on the members may run
    /// two or three pools of one server for a while; with this part they stay within its limit.
    double warmupShare = 0.5;
    /// While requests have waited without a break for less than this, further ones may wait until
    /// close to their deadline, as the load may pass. After it they are refused unless they can be
    /// answered within their target latency: a standing queue would only make all answers late.
    core::Duration standingQueue = std::chrono::milliseconds(500);
};

/// The slots of some servers of one service. Not thread-safe.
class SlotPool
{
public:
    explicit SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits = {});

    void setService(const catalog::Service &configured) { this->service = configured; }
    void setServers(const catalog::BackendServers &usable, core::TimePoint now);

    /// Enters a request from data centre `from`. One that may not wait is refused where no slot is
    /// free, so that another pool can be tried.
    void request(Ticket ticket, Demand demand, core::DataCentreName from, bool mayWait,
                 core::TimePoint now);

    /// Ends the use of a slot, or the wait for one. `elapsed`: from sending to the whole response.
    void release(Ticket ticket, AttemptResult result, core::Duration elapsed,
                 const std::optional<LoadReport> &report, core::TimePoint now);

    /// Decides what can be decided now.
    std::vector<SlotVerdict> dispatch(core::TimePoint now);

    /// Requests that wait for a decision.
    std::size_t waiting() const { return this->queue.size(); }

    /// Slots in use.
    std::size_t inUse() const { return this->permits.size(); }

private:
    struct Waiting
    {
        Ticket ticket = 0;
        Demand demand;
        core::DataCentreName from;
        bool mayWait = true;
        bool accepted = false; ///< To wait; refused only if it can't be answered in time any more.
    };

    struct Permit
    {
        core::ServerName server;
        std::string route;
        core::TimePoint expiresAt{};
    };

    void expirePermits(core::TimePoint now);
    std::optional<SlotDecision> decide(Waiting &entry, std::size_t ahead, core::TimePoint now);
    ServerLoad *best(const Waiting &entry, core::TimePoint now);
    bool hasRoom(const ServerLoad &load, core::TimePoint now) const;
    core::Duration cost(const ServerLoad &load, const Waiting &entry, core::TimePoint now);
    void admit(const Waiting &entry, ServerLoad &load, core::TimePoint now);
    std::optional<Refuse> refusal(const Waiting &entry, std::size_t ahead,
                                  core::TimePoint now) const;
    core::Duration usualTime(const Demand &demand) const;
    double warmupRate() const;

    const SlotPoolLimits limits;
    catalog::Service service;
    std::map<core::ServerName, ServerLoad> servers;
    std::map<Ticket, Permit> permits;
    std::vector<Waiting> queue; ///< Invariant: sorted by priority, then by arrival.
    core::TimePoint emptyAt{};  ///< When the queue was empty last.
    RouteTimes times;
    boost::random::mt19937 random;
};

} // namespace amaranthdale::balance
