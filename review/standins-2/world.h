// A small deployment on loopback addresses: the store, instances as separate processes, upstreams.
#pragma once

#include "link.h"
#include "store.h"

#include <fstream>
#include <set>
#include <sys/types.h>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/// Time since the start of this program.
Milliseconds now();
void sleepUntil(Milliseconds time);

/// Unix time, as in the field `born`.
std::int64_t wallMilliseconds();

/// False if the environment says TROUBLE=0: the disruption is left out.
bool isTroubled();

/// Writes lines with times to `record.txt`. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path) : file(path) { }

    void write(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// A port that is free on the first `count` addresses 127.0.BLOCK.1, 127.0.BLOCK.2 and so on.
std::uint16_t freePort(int block, int count);

/// What an upstream is, apart from its address.
struct UpstreamIdentity
{
    std::string id;
    std::string service;
    std::string zone;
    int slots = 4;
};

/// An upstream: slots, a queue, work, grants of keys. One object stands for one life of it.
class Upstream
{
public:
    Upstream(UpstreamIdentity identity, const Address &address, Record &record, Store &store);
    virtual ~Upstream() = default;

    /// Writes the entry of this upstream to the registry.
    void announce(const std::string &state);
    std::string entry(const std::string &state);

    /// Ends as a killed process does: the listener and all connections close.
    void crash();

    const UpstreamIdentity self;
    std::atomic<bool> leaving{false}; ///< Says so in all its answers.

protected:
    /// How long the request works.
    virtual Milliseconds workOf(const Message &request);

    /// Called when a request has been read, before it begins to run. Returns false if the upstream
    /// has ended meanwhile.
    virtual bool onArrival(const Message &request);

    /// Serves a connection to its end.
    virtual void serve(const std::shared_ptr<Connection> &connection);

    /// The complete response to a request, after its work.
    std::string run(const Message &request);

    std::string refuse(const Message &request, int status);

    Record &record;
    Store &store;
    std::mutex mutex;
    int running = 0;
    std::int64_t sequence = 0;
    const std::int64_t born;
    std::atomic<bool> ended{false};
    Server server; // Destroyed first.
};

/// An instance, as a process of its own.
class Instance
{
public:
    /// `index` begins at 1; the address is 127.0.BLOCK.INDEX.
    Instance(int index, std::string zone, int block, const Address &store,
             const std::vector<std::string> &seeds, std::uint16_t port, std::string folder);
    ~Instance();

    void start();
    bool isReady() const;
    bool isRunning();
    void signal(int number) const;

    const std::string name;
    const Address callers;
    const Address peers;

private:
    std::string settingsText() const;

    const std::string zone;
    const Address readiness;
    const Address store;
    const std::vector<std::string> seedAddresses;
    const std::string folder;
    pid_t process = -1;
};

/// The store and three instances in three zones, started and ready. The processes end with it.
class World
{
public:
    explicit World(const std::string &caseFolder);

    /// Writes a configuration with the routes, and the upstreams' services.
    void configure(const std::string &json);

    /// Starts the instances and waits until all are ready; exits with 2 if that fails.
    void start();

    Address upstreamAddress(int index) const;

    /// Puts a link between the store and the last instance.
    Link &addStoreLink();

    Record record;
    const int block; ///< Third part of all addresses of this run.
    const std::uint16_t port;
    Store store;
    const std::string folder; ///< For settings and logs; removed at the end.
    std::vector<std::unique_ptr<Instance>> instances;

private:
    std::unique_ptr<Link> storeLink; ///< Of the last instance; null: it has none.
};

/// A configuration with one service that isn't divided by key, and one route to it.
std::string configurationText(const std::string &service, const std::string &type, int timeoutMs);

/// The text of a request as a client sends it.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &requestId, int deadlineMs, const std::string &body);

/// Ends the run. `broken`: the rule was broken.
[[noreturn]] void finish(World &world, bool broken, const std::string &summary);

} // namespace review
