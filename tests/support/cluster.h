// Deployment of real processes for the integration tests.
#pragma once

#include "amaranthdale/history/checks.h"
#include "amaranthdale/history/history_file.h"
#include "process.h"
#include "test_support.h"

#include <boost/json/object.hpp>

#include <filesystem>
#include <map>
#include <memory>

namespace amaranthdale::testing {

/// A response as a caller sees it; status 0 if there was none or its body was incomplete.
struct Reply
{
    unsigned status = 0;
    std::string outcome; ///< `X-Outcome`
    std::string id;      ///< `X-Request-Id`
    std::string body = {};
    std::string error;

    bool answered() const { return this->status == 200 && this->outcome == "answered"; }
};

/// A request sent by a caller.
struct Call
{
    std::string method = "GET";
    std::string target = "/stockroom/item";
    std::string key = {};
    std::string id = {};
    std::string body = {};
    core::Duration timeout = std::chrono::seconds(2);
};

/// Backend server that owns a key, and the instance that controls it.
struct Owner
{
    std::string server;
    std::string controller;

    bool isComplete() const { return !this->server.empty() && !this->controller.empty(); }
};

/// Exit code and error output of amaranthdalectl.
struct CommandResult
{
    int exitCode = -1; ///< -1 if it didn't exit in time.
    std::string errors = {};

    bool succeeded() const { return this->exitCode == 0; }
};

struct ClusterOptions
{
    std::string serviceTime = "5ms";
    std::string tillServiceTime = "5ms";
};

/// Three instances, each in its own data centre, with a log service, an instance list and backend
/// servers of the services `stockroom` (keyed by X-Key) and `till` (no keys). The destructor ends
/// all processes; it removes their files unless AMARANTHDALE_KEEP_FILES is set.
class Cluster
{
public:
    explicit Cluster(ClusterOptions options = {});
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Waits until each instance answers requests of both services.
    bool waitUntilServing();

    Reply call(const std::string &instance, const Call &call);
    Reply send(const core::Endpoint &endpoint, const core::HttpRequest &request,
               core::Duration timeout);
    Reply get(const core::Endpoint &endpoint, const std::string &target);

    /// Owner of a key as an instance reports it; the fields are empty if there is none.
    Owner ownerOf(const std::string &key, const std::string &instance);

    /// Requests a new request id from an instance.
    std::string issueId(const std::string &instance);

    /// Runs amaranthdalectl with the endpoints of an instance and the log.
    CommandResult runCtl(const std::string &instance, std::vector<std::string> arguments);

    /// Writes a service document that marks one server as leaving, and returns the file's path.
    std::string writeDocument(const std::string &service, const std::string &leaving = {});

    /// Starts load-tool on the callers' ports of `targets`.
    std::unique_ptr<Process> startLoad(const std::vector<std::string> &targets,
                                       std::vector<std::string> options);

    /// Sets the faults that a stand-in injects: the log or a backend server.
    void control(const core::Endpoint &endpoint, const std::string &faults);

    std::string startInstance(const std::string &name, const std::string &dataCentre);
    Process &instance(const std::string &name) { return *this->instances.at(name); }
    core::Endpoint serverEndpoint(const std::string &name);
    Process &server(const std::string &name) { return *this->servers.at(name); }
    core::Endpoint callerEndpoint(const std::string &name);
    core::Endpoint operatorEndpoint(const std::string &name);
    core::Endpoint logEndpoint() { return this->log->endpoint("listening"); }
    std::vector<std::string> instanceNames() const;

    /// The first instance that isn't named in `excluded`.
    std::string instanceExcept(const std::vector<std::string> &excluded) const;

    /// All events in the history files so far.
    std::vector<history::Event> events() const;

    /// Describes each breach of a promise that the history shows; empty if there is none.
    std::string breaches() const;

private:
    void startServer(const std::string &service, const std::string &name,
                     const std::string &dataCentre, const std::string &serviceTime);
    std::string serializeDocument(const std::string &service, const std::string &leaving);
    void appendDocument(const std::string &service, std::uint64_t sequence);
    std::string writeFile(const std::string &name, const std::string &text);
    std::string path(const std::string &name) const { return (this->directory / name).string(); }

    std::filesystem::path directory;
    Workers workers;
    std::unique_ptr<core::HttpSender> sender;
    std::unique_ptr<Process> log;
    std::unique_ptr<Process> instanceList;
    std::map<std::string, std::unique_ptr<Process>> instances;
    std::map<std::string, std::unique_ptr<Process>> servers;
    std::map<std::string, boost::json::array> documentServers; // By service.
    unsigned filesWritten = 0;                                 // Makes file names unique.
};

} // namespace amaranthdale::testing
