// The side that hands out slots: pools of servers, and who holds or awaits which slot.
#pragma once

#include "slot_messages.h"

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/gateway.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace amaranthdale::slots {

/// The servers whose slots are handed out together: those of a service in one data centre, or one
/// that owns keys.
struct PoolKey
{
    core::ServiceName service;
    std::optional<core::ServerName> server;
    core::DataCentreName dataCentre; ///< Empty where a server is named.

    auto operator<=>(const PoolKey &) const = default;

    /// Name of the task to hand out these slots.
    std::string task() const
    {
        return this->service.value + '/'
                + (this->server ? this->server->value : this->dataCentre.value);
    }
};

/// Who asked for a slot. No endpoint: this instance itself.
struct Asker
{
    std::optional<core::Endpoint> endpoint;
    balance::Ticket ticket = 0;

    auto operator<=>(const Asker &) const = default;
};

/// Hands out the slots of the servers that it is asked for, by what the gateway's directory says of
/// them. Thread-safe.
class SlotGiver : public std::enable_shared_from_this<SlotGiver>
{
public:
    /// What becomes known to askers. Called without the lock, possibly from inside a call.
    struct Reports
    {
        /// Nothing: no slots of these servers are handed out here.
        std::function<void(const Asker &, std::optional<balance::SlotDecision>)> decided;
        std::function<void(const Asker &)> queued;
    };

    SlotGiver(clock::Clock &giverClock, gateway::Gateway &ownGateway, core::Duration tickInterval,
              Reports askerReports)
        : clock(giverClock), gateway(ownGateway), tick(tickInterval),
          reports(std::move(askerReports))
    { }

    /// Hands out a slot, refuses, or lets the request wait.
    void serve(const Asker &asker, const SlotRequest &request);

    /// Takes a slot back, or ends a wait.
    void takeBack(const Asker &asker, const SlotRelease &release);

    /// Hands out no further slots.
    void stop() { this->stopped = true; }

private:
    struct Pool
    {
        explicit Pool(std::uint64_t seed) : slots(seed) { }

        balance::SlotPool slots;
        std::uint64_t directoryVersion = 0; ///< Of the servers in `slots`; 0: none.
        bool ticking = false;
    };

    struct Origin
    {
        Asker asker;
        PoolKey pool;
        core::TimePoint expiresAt{}; ///< Its release was lost if it is still here then.
    };

    using Verdicts = std::vector<std::pair<Asker, balance::SlotDecision>>;

    // Those marked so are called with the lock held.
    Pool *poolOf(const PoolKey &key, core::TimePoint now);                  // Locked.
    Verdicts dispatch(Pool &pool, const PoolKey &key, core::TimePoint now); // Locked.
    void purge(core::TimePoint now);                                        // Locked.
    void onTick(const PoolKey &key);
    void tellAll(Verdicts verdicts);

    clock::Clock &clock;
    gateway::Gateway &gateway;
    const core::Duration tick;
    const Reports reports;
    std::atomic<bool> stopped{false};

    // Guards what follows. Tables of the gateway are read under it; nothing is sent or called back.
    std::mutex mutex;
    balance::Ticket lastTicket = 0;
    std::uint64_t lastSeed = 0;
    std::map<PoolKey, Pool> pools;
    std::map<balance::Ticket, Origin> origins; ///< By ticket in the pool.
    std::map<Asker, balance::Ticket> tickets;  ///< Ticket in the pool by asker.
};

} // namespace amaranthdale::slots
