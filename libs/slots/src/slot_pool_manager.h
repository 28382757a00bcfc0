// Slot pools that this instance allocates from, and the requesters that hold or wait for slots.
#pragma once

#include "shortage_report.h"
#include "slot_messages.h"

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/hedging/pool_hedge_budget.h"
#include "amaranthdale/slots/slot_coordinator.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace amaranthdale::slots {

/// Identifies servers whose slots form one pool: those of a service in one data centre, or a single
/// server that owns keys.
struct PoolKey
{
    core::ServiceName service;
    std::optional<core::ServerName> server;
    core::DataCentreName dataCentre; ///< Empty if `server` is set.

    auto operator<=>(const PoolKey &) const = default;

    /// Key by which `Members` assigns the pool to an instance.
    std::string assignmentKey() const
    {
        return this->service.value + '/'
                + (this->server ? this->server->value : this->dataCentre.value);
    }
};

/// Source of a slot request.
struct Requester
{
    std::optional<core::Endpoint> endpoint; ///< Unset for this instance itself.
    balance::Ticket ticket = 0;

    auto operator<=>(const Requester &) const = default;
};

/// Why a slot request gets no decision. The requester decides from its local state.
enum class NoDecision {
    Stopping,  ///< This instance allocates no slots any more.
    NoServers, ///< The pool has no server that this instance may use.
};

/// Allocates slots of the servers in the gateway's directory to this and other instances. Each
/// request is granted, refused or reported as undecided; one whose servers leave while it waits is
/// reported within the check interval. An instance that isn't assigned to a pool allocates its
/// slots too when requesters suspect the assigned one, but uses no cold servers: any number of
/// instances may be asked at once, and together they would exceed the warm-up rate. Thread-safe.
class SlotPoolManager : public std::enable_shared_from_this<SlotPoolManager>
{
public:
    /// Notifications for requesters. Invoked without the lock, possibly from inside a call.
    struct Callbacks
    {
        std::function<void(const Requester &, balance::SlotDecision)> decided;
        std::function<void(const Requester &, NoDecision)> undecided;
        std::function<void(const Requester &)> queued;
        /// Whether this instance is the one assigned to the pool.
        std::function<bool(const PoolKey &)> isAssigned;
        /// Number of data centres with instances, each of which has a pool of every service.
        std::function<std::size_t()> dataCentreCount;
    };

    SlotPoolManager(clock::Clock &managerClock, log::EventLog &eventLog,
                    gateway::Gateway &ownGateway, const CoordinatorOptions &options,
                    Callbacks requesterCallbacks)
        : clock(managerClock), events(eventLog), gateway(ownGateway),
          queueCheckInterval(options.queueCheckInterval), callbacks(std::move(requesterCallbacks)),
          observer(options.admissionObserver), hedgeLimits(options.hedges),
          serviceTimes(options.serviceTimes)
    {
        this->poolLimits.admission = options.admission;
    }

    /// Grants a slot, refuses the request or queues it.
    void handleRequest(const Requester &requester, const SlotRequest &request);

    /// Releases a slot, or cancels a queued request.
    void handleRelease(const Requester &requester, const SlotRelease &release);

    /// Stops allocating slots.
    void stop() { this->stopped = true; }

private:
    struct Pool
    {
        Pool(std::uint64_t seed, const balance::SlotPoolLimits &limits,
             hedging::SharedHedgeLimits hedgeLimits)
            : slots(seed, limits), hedges(hedgeLimits)
        { }

        balance::SlotPool slots;
        hedging::PoolHedgeBudget hedges;
        bool mayHedge = false; ///< This instance is assigned to the pool.
        core::TimePoint hedgesCheckedAt{};
        std::uint64_t directoryVersion = 0; ///< Of the servers in `slots`; 0: not loaded.
        bool hasServers = false;
        bool tickScheduled = false;
        core::TimePoint assignmentCheckedAt{};
        ShortageReport shortage;
    };

    struct PoolShares
    {
        std::string pool;
        bool isShort = false;
        std::vector<admission::RouteShare> routes;
    };

    struct ActiveRequest
    {
        Requester requester;
        PoolKey pool;
        core::TimePoint expiresAt{}; ///< If not released by then, the release was lost.
        bool firstAttempt = false;   ///< Adds to the budget of hedges when it is granted.
    };

    // A release that hasn't arrived this long after a request's deadline is considered lost.
    static constexpr auto releaseGracePeriod = std::chrono::seconds(2);
    // How long the result of `isAssigned` is kept. It hashes the names of all members.
    static constexpr auto assignmentCheckInterval = std::chrono::milliseconds(200);

    // Results to report once the lock is released.
    struct Results
    {
        std::vector<std::pair<Requester, balance::SlotDecision>> decided;
        std::vector<Requester> undecided; ///< Waited for servers that are gone.
        std::vector<PoolShares> shares;   ///< For the observer.
    };

    void handleHedge(const Requester &requester, const SlotRequest &request);

    // These are called with the lock held.
    balance::SlotDecision decideHedge(Pool &pool, const PoolKey &key, const Requester &requester,
                                      const SlotRequest &request, core::TimePoint now);
    bool mayHedge(Pool &pool, const PoolKey &key, core::TimePoint now);
    void reportOpened(const PoolKey &key, const catalog::BackendServers &servers,
                      core::TimePoint now);
    Pool *findOrCreatePool(const PoolKey &key, core::TimePoint now);
    bool updateServers(Pool &pool, const PoolKey &key, core::TimePoint now);
    void checkAssignment(Pool &pool, const PoolKey &key, core::TimePoint now);
    void dispatch(const PoolKey &key, core::TimePoint now, Results &results);
    void removeExpired(core::TimePoint now);
    void reportShortage(Pool &pool, const PoolKey &key, core::TimePoint now, Results &results);

    void onTick(const PoolKey &key);
    void notifyAll(Results results);

    clock::Clock &clock;
    log::EventLog &events;
    gateway::Gateway &gateway;
    const core::Duration queueCheckInterval;
    const Callbacks callbacks;
    const std::shared_ptr<admission::AdmissionObserver> observer;  ///< May be null.
    const std::shared_ptr<balance::ServiceTimeBoard> serviceTimes; ///< May be null.
    const hedging::SharedHedgeLimits hedgeLimits;
    balance::SlotPoolLimits poolLimits; ///< Set by the constructor only.
    std::atomic<bool> stopped{false};

    // Guards the members below. The gateway's tables are read under it, but no message is sent and
    // no callback invoked.
    std::mutex mutex;
    balance::Ticket lastTicket = 0;
    std::uint64_t lastSeed = 0;
    std::map<PoolKey, Pool> pools;
    std::map<balance::Ticket, ActiveRequest> activeRequests; ///< By pool ticket.
    std::map<Requester, balance::Ticket> tickets;            ///< Pool tickets.
};

} // namespace amaranthdale::slots
