// Simulation of several engines with an in-memory log, backend servers, network links and
// processes.
#pragma once

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/decisions/ownership_engine.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace amaranthdale::decisions::model {

using std::chrono::milliseconds;

using PolicyFactory = std::function<std::unique_ptr<AuthorityPolicy>(const OwnershipTimings &)>;

struct ModelSettings
{
    std::uint64_t seed = 1;
    unsigned instances = 6;
    unsigned servers = 6;
    core::SlotIndex slots = 12;
    bool checksFence = true;
    PolicyFactory policy;
};

// A process that can be killed, frozen and resumed. Messages that arrive while it is frozen wait in
// `backlog`, as in socket buffers.
struct Process
{
    std::string name;
    bool alive = true;
    bool frozen = false;
    std::uint64_t incarnation = 1;
    std::deque<std::function<void()>> backlog;

    bool isRunning() const { return this->alive && !this->frozen; }
};

struct ModelInstance : Process
{
    core::DataCentreName dataCentre;
    std::unique_ptr<OwnershipEngine> engine;
    std::shared_ptr<ClusterState> state;
    bool readInFlight = false;

    core::InstanceId id() const
    {
        return {core::InstanceName(this->name), core::Incarnation(this->incarnation)};
    }
};

struct ModelServer : Process
{
    core::DataCentreName dataCentre;
    bool checksFence = true;
    core::Duration clockOffset{};
    core::Fence fence;
    core::Duration expiresAt{};
    std::set<core::SlotIndex> slots;
};

// State of a slot at one moment.
struct SlotView
{
    std::set<const ModelServer *> holders; // Servers that would run a request for the slot.
    bool served = false;                   // A holder answers its controller.
};

class Model
{
public:
    explicit Model(ModelSettings settings);

    void run(core::Duration time);

    // Runs until every slot is served. Returns false if that takes longer than `limit`.
    bool runUntilServed(core::Duration limit = std::chrono::seconds(10));

    // Faults.
    void kill(Process &process);
    void freeze(Process &process) { process.frozen = true; }
    void resume(Process &process);
    void restartInstance(ModelInstance &instance); // Starts a new process without state.
    void restartServer(ModelServer &server);
    void cut(const std::string &from, const std::string &to) { this->cutLinks.insert({from, to}); }
    void isolate(const std::set<std::string> &side); // Cuts `side` off the rest, both ways.
    void restoreLinks() { this->cutLinks.clear(); }
    void append(RecordBody body); // Appends as an operator.

    bool logDown = false;
    double responseLossRate = 0;  // Fraction of appends whose response is lost.
    core::Duration appendDelay{}; // Additional delay until an append takes effect.
    bool listFrozen = false;      // The platform's instance list isn't updated.

    ModelServer &serverOfSlot(core::SlotIndex slot);
    ModelInstance &controllerOf(const ModelServer &server);
    ModelInstance &successorOf(const ModelServer &server, std::size_t index);
    ModelInstance *findInstance(const core::InstanceId &id);

    // Longest unserved time of a slot, total unserved time and number of slots that were ever
    // unserved, all since `startMeasuring`.
    void startMeasuring();
    core::Duration longestGap() const { return this->longestUnserved; }
    core::Duration unservedTime() const { return this->totalUnserved; } // Sum over all slots.
    std::size_t slotsInterrupted() const { return this->slotsEverUnserved.size(); }

    const std::vector<std::string> &breaches() const { return this->recordedBreaches; }
    // True if all running instances have replayed the same state and the log contains every
    // acknowledged record.
    bool statesAgree() const;
    std::size_t logSize() const { return this->records.size(); }
    std::size_t recordsDropped() const { return this->dropped; } // Records that replay dropped.
    const ClusterState &referenceState() const { return this->reference; }

    std::vector<std::unique_ptr<ModelInstance>> instances;
    std::vector<std::unique_ptr<ModelServer>> servers;
    clock::ManualClock clock;

private:
    using Task = std::function<void()>;

    core::TimePoint now() const { return this->clock.now(); }
    bool isLinked(const std::string &from, const std::string &to) const;
    void send(Process &from, Process *to, const std::string &toName, Task task);
    void deliver(Process &to, std::uint64_t incarnation, Task task);
    void start(ModelInstance &instance);
    void step();
    void perform(ModelInstance &instance);
    void perform(ModelInstance &instance, const OwnershipAction &action);
    void probe(ModelInstance &instance, const core::ServerName &name, const SendGrant *grant);
    ServerReply respondTo(ModelServer &server, const SendGrant *grant);
    void appendFrom(ModelInstance &instance, const LogRecord &record);
    void appendToLog(const LogRecord &record, core::LogOffset *offset);
    void readLog(ModelInstance &instance);
    void replayUpTo(ModelInstance &instance, std::size_t tail, core::TimePoint began);
    void fetchList(ModelInstance &instance);
    void sendRequests(ModelInstance &instance);
    ModelServer *findServer(const core::ServerName &name);
    core::Duration clockOfServer(const ModelServer &server) const;
    bool wouldRun(const ModelServer &server, core::SlotIndex slot) const;
    std::vector<SlotView> observe() const;
    void observe(const ModelServer &server, const ModelInstance &instance,
                 std::vector<SlotView> &views) const;
    void check(const std::vector<SlotView> &views);
    void measure(const std::vector<SlotView> &views);
    void recordBreach(std::string text);

    ModelSettings settings;
    std::mt19937_64 random;
    std::vector<LogRecord> records;
    std::set<RecordId> acknowledged;
    ClusterState reference;
    std::vector<InstanceView> instanceList;
    std::set<std::pair<std::string, std::string>> cutLinks;
    std::uint64_t steps = 0;
    std::uint64_t lastIncarnation = 100;
    std::uint64_t operatorRecords = 0;
    std::size_t dropped = 0;
    std::vector<std::string> recordedBreaches;
    std::map<core::SlotIndex, core::TimePoint> unservedSince;
    std::set<core::SlotIndex> slotsEverUnserved;
    core::Duration longestUnserved{};
    core::Duration totalUnserved{};
};

} // namespace amaranthdale::decisions::model
