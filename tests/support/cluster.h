// A whole deployment of real processes for the integration tests.
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

/// A response as a caller sees it; status 0 when there was none or its body broke off.
struct Reply
{
    unsigned status = 0;
    std::string outcome; ///< `X-Outcome`
    std::string id;      ///< `X-Request-Id`
    std::string body = {};
    std::string error;

    bool answered() const { return this->status == 200 && this->outcome == "answered"; }
};

/// A request of a caller.
struct Call
{
    std::string method = "GET";
    std::string target = "/stockroom/item";
    std::string key = {};
    std::string id = {};
    std::string body = {};
    core::Duration timeout = std::chrono::seconds(2);
};

struct Owner
{
    std::string server;
    std::string controller;

    bool complete() const { return !this->server.empty() && !this->controller.empty(); }
};

/// What amaranthdalectl ended with.
struct CommandResult
{
    int code = -1; ///< -1: it didn't end in time.
    std::string errors = {};

    bool done() const { return this->code == 0; }
};

struct ClusterOptions
{
    std::string serviceTime = "5ms";
    std::string tillServiceTime = "5ms";
};

/// Three instances, each in its own data centre, with a log, a list and backend servers of the
/// services `stockroom` (keyed by X-Key) and `till` (no keys). Everything ends with this object.
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
    Reply send(const core::Endpoint &to, const core::HttpRequest &request, core::Duration timeout);
    Reply get(const core::Endpoint &to, const std::string &target);

    /// Owner of a key as an instance sees it; empty fields when there is none.
    Owner ownerOf(const std::string &key, const std::string &instance);

    /// A request id issued by an instance.
    std::string issueId(const std::string &instance);

    /// Runs amaranthdalectl with the addresses of an instance and the log.
    CommandResult operate(const std::string &instance, std::vector<std::string> words);

    /// Writes a service document in which one server is marked as leaving; the path of the file.
    std::string writeDocument(const std::string &service, const std::string &leaving = {});

    /// Starts load-tool on the callers' ports of `targets`.
    std::unique_ptr<Process> startLoad(const std::vector<std::string> &targets,
                                       std::vector<std::string> options);

    /// Sets faults of the log stand-in or of a backend server.
    void control(const core::Endpoint &to, const std::string &faults);

    std::string startInstance(const std::string &name, const std::string &dataCentre);
    Process &instance(const std::string &name) { return *this->instances.at(name); }
    core::Endpoint serverEndpoint(const std::string &name);
    Process &server(const std::string &name) { return *this->servers.at(name); }
    core::Endpoint callers(const std::string &name);
    core::Endpoint operators(const std::string &name);
    core::Endpoint logEndpoint() { return this->log->endpoint("listening"); }
    std::vector<std::string> instanceNames() const;

    /// The first instance that isn't named in `excluded`.
    std::string otherThan(const std::vector<std::string> &excluded) const;

    /// All events noted so far.
    std::vector<history::Event> events() const;

    /// Text of each breach of a promise in the history; empty when there is none.
    std::string breaches() const;

private:
    void startServer(const std::string &service, const std::string &name,
                     const std::string &dataCentre, const std::string &serviceTime);
    std::string documentText(const std::string &service, const std::string &leaving);
    void append(const std::string &service, std::uint64_t sequence); // Appends its document.
    std::string writeFile(const std::string &name, const std::string &text);
    std::string path(const std::string &name) const { return (this->folder / name).string(); }

    std::filesystem::path folder;
    Workers workers;
    std::unique_ptr<core::HttpSender> sender;
    std::unique_ptr<Process> log;
    std::unique_ptr<Process> list;
    std::map<std::string, std::unique_ptr<Process>> instances;
    std::map<std::string, std::unique_ptr<Process>> servers;
    std::map<std::string, boost::json::array> documentServers; // By service.
    unsigned commands = 0;
};

} // namespace amaranthdale::testing
