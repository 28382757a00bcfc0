// Allocates the request slots of backend servers whose requests are all coordinated by one
// instance.
//
// It is made for loads that exceed the servers' slots. Senders that know only their own requests
// fill the queues of some servers while others are idle, and each of them has to detect the
// overload of a hot key's owner by itself. A pool knows the exact number of requests at each
// server, queues further requests by priority, and refuses at once those that would be late. If
// `AdmissionOptions::enabled` is set and the pool is short of capacity, an `AdmissionPolicy` orders
// and refuses instead.
#pragma once

#include "amaranthdale/admission/admission_policy.h"
#include "amaranthdale/admission/shortage.h"
#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/balance/server_speeds.h"
#include "amaranthdale/balance/service_balancer.h"

#include <boost/random/mersenne_twister.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace amaranthdale::balance {

/// Identifies a request in a pool; chosen by the user of the pool.
using Ticket = std::uint64_t;

/// The server that a request may be sent to, or a refusal.
using SlotDecision = std::variant<core::ServerName, Refuse>;

/// The decision on one request.
struct TicketDecision
{
    Ticket ticket = 0;
    SlotDecision decision;
};

struct SlotPoolLimits
{
    /// Requests at a server beyond its slots, so that no slot is idle while a response and the next
    /// request are in transit.
    unsigned headroom = 1;
    /// A slot whose release was lost is freed after this multiple of the expected latency.
    double expiryFactor = 4;
    core::Duration minExpiry = std::chrono::milliseconds(500);
    /// Share of a cold server's warm-up rate. Instances that disagree on the members may run two or
    /// three pools for one server for a while; with this share they stay within its limit.
    double warmupShare = 0.5;
    /// A queue that has not been empty for this long is a standing queue. In a shorter burst,
    /// requests may wait until close to their deadline. In a standing queue, a request that can't
    /// be answered within its target latency is refused, as it would only delay all others.
    core::Duration standingQueueThreshold = std::chrono::milliseconds(500);
    /// Shares of the routes while the pool is short of capacity.
    admission::AdmissionOptions admission;
};

/// Allocates the slots of a group of servers of one service. Not thread-safe.
class SlotPool
{
public:
    explicit SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits = {});

    /// Uses `admissionPolicy` in shortages, whatever the limits say.
    SlotPool(std::uint64_t seed, SlotPoolLimits poolLimits,
             std::unique_ptr<admission::AdmissionPolicy> admissionPolicy);

    void setService(const catalog::Service &configured) { this->service = configured; }
    void setServers(const catalog::BackendServers &usable, core::TimePoint now);

    /// Whether cold servers get requests. Others do in any case.
    void setUsesColdServers(bool uses) { this->usesColdServers = uses; }

    bool hasColdServers(core::TimePoint now) const;

    /// True if any server may get requests now or when it has a free slot.
    bool hasUsableServers(core::TimePoint now) const;

    /// Adds a request from data centre `from`. With `mayWait` false it is refused when no slot is
    /// free, so that the sender can try another pool.
    void request(Ticket ticket, Demand demand, core::DataCentreName from, bool mayWait,
                 core::TimePoint now);

    /// Grants a slot for a second attempt at once, or returns nothing: only a warm server without
    /// a queue, and only while no request waits and the pool isn't short of capacity.
    std::optional<core::ServerName> grantHedge(Ticket ticket, Demand demand,
                                               const core::DataCentreName &from,
                                               core::TimePoint now);

    /// Releases a slot or removes a waiting request. `elapsed` is the time from sending to the
    /// complete response. Returns how long the server took, if it has run the request.
    std::optional<MeasuredRequest> release(Ticket ticket, AttemptResult result,
                                           core::Duration elapsed,
                                           const std::optional<LoadReport> &report,
                                           core::TimePoint now);

    /// Decides all requests that can be decided now.
    std::vector<TicketDecision> dispatch(core::TimePoint now);

    /// Removes and returns the waiting requests that no server of the pool may get, however long
    /// they wait: it has no servers, or each of them is excluded for the request. Another pool may
    /// serve them.
    std::vector<Ticket> takeUnservable(core::TimePoint now);

    /// Number of requests in the queue.
    std::size_t waiting() const { return this->queue.size(); }

    /// Number of slots in use.
    std::size_t inUse() const { return this->grantedSlots.size(); }

    /// True while the policy decides, because requests can't be expected in time otherwise.
    bool isShort(core::TimePoint now) const
    {
        return this->policy != nullptr && !this->shortage.isOver(now);
    }

    /// What each route asks for and gets; empty without a policy.
    std::vector<admission::RouteShare> routeShares(core::TimePoint now) const;

private:
    struct QueuedRequest
    {
        Ticket ticket = 0;
        Demand demand;
        core::DataCentreName from;
        bool mayWait = true;
        bool accepted = false; ///< Was queued before; refused only once its deadline can't be met.
        admission::Arrival arrival; ///< As the policy counted it.
    };

    // Capacity of the servers that may run a request.
    struct EligibleCapacity
    {
        core::Duration routeLatency{};
        double completionRate = 0; ///< Requests/s.
        core::Duration lowestLatency = core::Duration::max();
    };

    // What the policy is told about the queue; entries correspond to those of `queue`.
    struct Shares
    {
        std::vector<admission::WaitingRequest> waiting;
        std::vector<double> slots; ///< Requests that the eligible servers execute at once.
    };

    struct GrantedSlot
    {
        core::ServerName server;
        std::string route;
        core::TimePoint expiresAt{};
    };

    void expireGrantedSlots(core::TimePoint now);
    std::optional<SlotDecision> decide(QueuedRequest &entry, std::size_t queuedAhead,
                                       core::TimePoint now);
    ServerLoad *selectServer(const QueuedRequest &entry, core::TimePoint now);
    bool hasFreeSlot(const ServerLoad &load, core::TimePoint now) const;
    bool mayServe(const ServerLoad &load, const Demand &demand, core::TimePoint now) const;
    core::Duration cost(const ServerLoad &load, const QueuedRequest &entry, core::TimePoint now);
    void admit(const QueuedRequest &entry, ServerLoad &load, core::TimePoint now);
    std::optional<Refuse> refusal(const QueuedRequest &entry, std::size_t queuedAhead,
                                  core::TimePoint now);
    EligibleCapacity eligibleCapacity(const Demand &demand, core::TimePoint now) const;
    bool isUnavailable(const Demand &demand, core::TimePoint now) const;
    std::optional<SlotDecision> grant(const QueuedRequest &entry, core::TimePoint now);

    // Defined in slot_pool_shares.cpp.
    void dispatchByShares(core::TimePoint now, std::vector<TicketDecision> &decided);
    Shares describeQueue(core::TimePoint now) const;
    bool hasAnyFreeSlot(core::TimePoint now) const;
    void grantByShares(Shares &shares, std::vector<std::optional<SlotDecision>> &decisions,
                       core::TimePoint now);
    void refuseByShares(Shares &shares, std::vector<std::optional<SlotDecision>> &decisions,
                        core::TimePoint now);
    core::Duration expectedRouteLatency(const Demand &demand) const;
    double warmupRate() const;
    bool isExcluded(const ServerLoad &load, core::TimePoint now) const;

    const SlotPoolLimits limits;
    catalog::Service service;
    bool usesColdServers = true;
    std::map<core::ServerName, ServerLoad> servers;
    std::map<Ticket, GrantedSlot> grantedSlots;
    std::vector<QueuedRequest> queue; ///< Invariant: sorted by priority, then by arrival.
    core::TimePoint lastEmptyAt{};    ///< Time of the last `dispatch` that left the queue empty.
    RouteLatencies routeLatencies;
    boost::random::mt19937 random;
    std::unique_ptr<admission::AdmissionPolicy> policy; ///< Null if admission isn't enabled.
    admission::Shortage shortage;
    bool foundLate = false; ///< Set by `refusal` if only the policy may decide a request.
};

} // namespace amaranthdale::balance
