// A small world for granters: a log with conditional appends, servers that follow the rules of
// grants, calls that are lost, late or carried out without an answer, and random faults.
#pragma once

#include "amaranthdale/keyspace/granter.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::keyspace::model {

using std::chrono::milliseconds;

/// Which faults a run injects.
struct Faults
{
    bool lostAnswers = false; ///< Calls are carried out without an answer, grants also late.
    bool cuts = false;        ///< Instances lose the log, or a server, for some seconds.
    bool restarts = false;    ///< Servers and instances restart; servers keep name or address.
    bool reelections = false; ///< Another instance is elected every now and then.
    bool membership = false;  ///< Servers drain and return.
    bool suspensions = false; ///< Instances stand still and go on as if nothing had happened.
};

/// A backend server as the platform's pages describe it.
struct Server
{
    struct Grant
    {
        KeyRange keys;
        std::uint64_t fence = 0;
        core::TimePoint until{};
    };

    core::ServerName name;
    std::uint64_t incarnation = 1;       ///< 0: down.
    std::uint64_t listedIncarnation = 1; ///< The run that the registry names.
    bool draining = false;
    std::vector<Grant> grants;
    std::map<Key, std::uint64_t> seen; ///< Highest fence for each probed key.
};

/// The keys at which owners are compared; ranges are checked there only.
std::vector<Key> probedKeys();

/// Runs granters against the world and records every breach of exclusive ownership.
class World
{
public:
    World(std::uint32_t seed, Faults injectedFaults, GranterLimits granterLimits);

    /// Advances the world in steps of 10 ms.
    void run(core::Duration length);

    const std::vector<std::string> &breaches() const { return this->found; }

    /// Probed keys that some server holds now.
    std::size_t heldKeys() const;

    core::TimePoint now() const { return this->time; }

    /// Ends server `index` at once; its entry is gone after `notice`.
    void killServer(std::size_t index, core::Duration notice);

    /// Ends instance `index` for good; another is elected after `notice`.
    void killInstance(std::size_t index, core::Duration notice);

    void cutLog(std::size_t instance, core::Duration length);
    void cutServer(std::size_t instance, std::size_t server, core::Duration length);
    void elect(std::size_t index) { this->elected = index; }

    std::size_t electedInstance() const { return this->elected; }

private:
    struct Instance
    {
        std::unique_ptr<Granter> granter;
        bool alive = true;
        core::TimePoint cutUntil{}; ///< No log until then.
        core::TimePoint suspendedUntil{};
        core::TimePoint nextRead{};
        std::map<std::size_t, core::TimePoint> serverCut;
        std::uint64_t incarnation = 1;
    };

    struct Event
    {
        core::TimePoint at;
        std::function<void()> action;
    };

    int dice(int least, int most);
    bool chance(int perThousand);
    void later(core::Duration delay, std::function<void()> action);
    void step();
    void injectFaults();
    void restartServer(std::size_t index);
    void act(std::size_t index);
    void askPredecessor(std::size_t index);
    void readLog(std::size_t index);
    void carryOut(std::size_t index, const Order &order);
    void grant(std::size_t index, const GrantOrder &order);
    void release(std::size_t index, const ReleaseOrder &order);
    void append(std::size_t index, const AppendOrder &order);
    OrderResult applyGrant(std::size_t server, const GrantOrder &order, core::TimePoint arrival);
    std::size_t findServer(const core::ServerName &name) const;
    void answer(std::size_t index, std::uint64_t run, core::Duration delay,
                std::function<void(Granter &)> action);
    void check();

    boost::random::mt19937 random;
    const Faults faults;
    const GranterLimits limits;
    core::TimePoint time{std::chrono::hours(1)};
    std::vector<Event> events;
    std::vector<Assignment> log;
    std::vector<Server> servers;
    std::vector<bool> listed; ///< Whether the registry still names the server.
    std::vector<Instance> instances;
    std::size_t elected = 0;
    KeyLoad load;
    std::vector<std::string> found;
    std::map<Key, std::pair<ServerRun, std::uint64_t>> lastOwner;
};

} // namespace amaranthdale::keyspace::model
