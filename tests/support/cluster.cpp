// Deployment of real processes for the integration tests.
#include "cluster.h"

#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/service_document_codec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

namespace amaranthdale::testing {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto startupTimeout = 15s;
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
const std::vector<std::string> dataCentres = {"nyarugenge", "gasabo", "kicukiro"};

std::filesystem::path makeTemporaryDirectory()
{
    std::string name = (std::filesystem::temp_directory_path() / "amaranthdale-XXXXXX").string();
    if (!::mkdtemp(name.data()))
        throw std::runtime_error("can't create a temporary directory");
    return name;
}

std::string formatMilliseconds(core::Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

std::string headerValue(const core::HttpResponse &response, std::string_view name)
{
    return std::string(core::findHeader(response.headers, name).value_or(""));
}

} // namespace

Cluster::Cluster(ClusterOptions options)
    : directory(makeTemporaryDirectory()), sender(http::makeBackendClient(this->workers.context))
{
    this->log = std::make_unique<Process>(
            "log-standin", std::vector<std::string>{"--history", this->path("log.history")},
            this->path("log.err"));
    this->instanceList = std::make_unique<Process>(
            "instance-list-standin", std::vector<std::string>{}, this->path("list.err"));
    for (std::size_t index = 0; index < dataCentres.size(); ++index) {
        const std::string number = std::to_string(index + 1);
        this->startServer("stockroom", "stock-" + number, dataCentres[index], options.serviceTime);
        this->startServer("till", "till-" + number, dataCentres[index], options.tillServiceTime);
        this->startInstance("i" + number, dataCentres[index]);
    }
    std::uint64_t sequence = 0;
    for (const auto &[service, members] : this->documentServers)
        this->appendDocument(service, ++sequence);
}

Cluster::~Cluster()
{
    // Instances end first, so that none reports the loss of a server, the log or the list.
    this->instances.clear();
    this->servers.clear();
    this->log.reset();
    this->instanceList.reset();
    if (std::getenv("AMARANTHDALE_KEEP_FILES")) {
        std::cerr << "files kept in " << this->directory << '\n';
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

std::string Cluster::startInstance(const std::string &name, const std::string &dataCentre)
{
    const json::object settings = {
            {"instance", name},
            {"dataCentre", dataCentre},
            {"listen",
             {{"callers", "127.0.0.1:0"}, {"peers", "127.0.0.1:0"}, {"operators", "127.0.0.1:0"}}},
            {"logService", {{"endpoint", core::formatEndpoint(this->logEndpoint())}}},
            {"instanceList", core::formatEndpoint(this->instanceList->endpoint("listening"))},
            {"workers", 2}};
    const std::string file = this->writeFile(name + ".settings", json::serialize(settings));
    this->instances[name] =
            std::make_unique<Process>("amaranthdaled", std::vector<std::string>{"--settings", file},
                                      this->path(name + ".err"));
    this->callerEndpoint(name);
    return name;
}

void Cluster::startServer(const std::string &service, const std::string &name,
                          const std::string &dataCentre, const std::string &serviceTime)
{
    auto process = std::make_unique<Process>(
            "backend-standin",
            std::vector<std::string>{"--name", name, "--service", service, "--warm-up", "1s",
                                     "--service-time", serviceTime, "--history",
                                     this->path(name + ".history")},
            this->path(name + ".err"));
    this->documentServers[service].push_back(
            json::object{{"name", name},
                         {"dataCentre", dataCentre},
                         {"endpoint", core::formatEndpoint(process->endpoint("listening"))},
                         {"requestSlots", 4},
                         {"coldSlots", 1},
                         {"checksFence", true}});
    this->servers[name] = std::move(process);
}

std::string Cluster::serializeDocument(const std::string &service, const std::string &leaving)
{
    json::array members = this->documentServers[service];
    for (json::value &member : members)
        member.as_object()["leaving"] = member.at("name").as_string() == leaving;
    json::object document = {{"service", service},
                             {"hashSlots", 64},
                             {"maxBodyBytes", 1048576},
                             {"servers", std::move(members)}};
    if (service == "stockroom")
        document["key"] = {{"header", "X-Key"}};
    return json::serialize(document);
}

std::string Cluster::writeDocument(const std::string &service, const std::string &leaving)
{
    return this->writeFile(service + "-" + std::to_string(++this->filesWritten) + ".json",
                           this->serializeDocument(service, leaving));
}

void Cluster::appendDocument(const std::string &service, std::uint64_t sequence)
{
    const auto parsed = records::parseServiceDocument(this->serializeDocument(service, {}));
    if (!parsed)
        throw std::runtime_error(toError(parsed.faults()).message);
    decisions::LogRecord record;
    record.id = {{core::InstanceName("operator:test"), core::Incarnation(1)}, sequence};
    record.body = decisions::DocumentRecord{parsed.value()};
    const Reply reply = this->send(
            this->logEndpoint(),
            {"POST", "/streams/amaranthdale/records", {}, records::encodeRecord(record)}, 5s);
    if (reply.status != 200)
        throw std::runtime_error("can't append the document of service " + service + " to the log");
}

core::Endpoint Cluster::serverEndpoint(const std::string &name)
{
    return this->server(name).endpoint("listening");
}

std::string Cluster::writeFile(const std::string &name, const std::string &text)
{
    const std::string file = this->path(name);
    std::ofstream(file) << text;
    return file;
}

bool Cluster::waitUntilServing()
{
    return eventually(startupTimeout, [this] {
        for (const std::string &name : this->instanceNames()) {
            const bool stock = this->call(name, {.key = "first", .timeout = 500ms}).answered();
            const bool till =
                    this->call(name, {.target = "/till/open", .timeout = 500ms}).answered();
            if (!stock || !till)
                return false;
        }
        return true;
    });
}

Reply Cluster::send(const core::Endpoint &endpoint, const core::HttpRequest &request,
                    core::Duration timeout)
{
    Reply reply;
    const auto response = sendAndWait(*this->sender, endpoint, request, timeout);
    if (!response) {
        reply.error = response.error().message;
        return reply;
    }
    reply.outcome = headerValue(*response, "X-Outcome");
    reply.id = headerValue(*response, "X-Request-Id");
    auto body = readBody(*response, maxBodyBytes);
    if (!body) {
        reply.error = body.error().message;
        return reply;
    }
    reply.body = std::move(*body);
    reply.status = response->status;
    return reply;
}

Reply Cluster::call(const std::string &instance, const Call &call)
{
    core::HttpRequest request{call.method, call.target, {}, call.body};
    request.headers.push_back({"X-Timeout-Ms", formatMilliseconds(call.timeout)});
    if (!call.key.empty())
        request.headers.push_back({"X-Key", call.key});
    if (!call.id.empty())
        request.headers.push_back({"Idempotency-Key", call.id});
    return this->send(this->callerEndpoint(instance), request, call.timeout + 500ms);
}

Reply Cluster::get(const core::Endpoint &endpoint, const std::string &target)
{
    return this->send(endpoint, {"GET", target, {}, {}}, 2s);
}

Owner Cluster::ownerOf(const std::string &key, const std::string &instance)
{
    const Reply reply =
            this->get(this->operatorEndpoint(instance), "/explain?service=stockroom&key=" + key);
    Owner owner;
    if (reply.status != 200)
        return owner;
    const json::value view = json::parse(reply.body);
    owner.server = std::string(view.at("server").as_string());
    owner.controller = std::string(view.at("controller").as_string());
    return owner;
}

std::string Cluster::issueId(const std::string &instance)
{
    const Reply reply = this->get(this->callerEndpoint(instance), "/-/request-id");
    return std::string(json::parse(reply.body).at("ids").as_array().at(0).as_string());
}

CommandResult Cluster::runCtl(const std::string &instance, std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(),
                     {"--instance", core::formatEndpoint(this->operatorEndpoint(instance)), "--log",
                      core::formatEndpoint(this->logEndpoint()), "--wait", "10s"});
    const std::string errorFile =
            this->path("ctl-" + std::to_string(++this->filesWritten) + ".err");
    Process command("amaranthdalectl", arguments, errorFile);
    CommandResult result{command.wait(15s)};
    std::ifstream file(errorFile);
    result.errors.assign(std::istreambuf_iterator<char>(file), {});
    return result;
}

std::unique_ptr<Process> Cluster::startLoad(const std::vector<std::string> &targets,
                                            std::vector<std::string> options)
{
    std::string addresses;
    for (const std::string &name : targets)
        addresses +=
                (addresses.empty() ? "" : ",") + core::formatEndpoint(this->callerEndpoint(name));
    const std::string name = "load-" + std::to_string(++this->filesWritten);
    options.insert(options.end(),
                   {"--instance", addresses, "--history", this->path(name + ".history")});
    return std::make_unique<Process>("load-tool", options, this->path(name + ".err"));
}

void Cluster::control(const core::Endpoint &endpoint, const std::string &faults)
{
    const Reply reply = this->send(endpoint, {"PUT", "/control", {}, faults}, 2s);
    if (reply.status != 200)
        throw std::runtime_error("can't set faults: " + reply.body + reply.error);
}

core::Endpoint Cluster::callerEndpoint(const std::string &name)
{
    return this->instance(name).endpoint("callers");
}

core::Endpoint Cluster::operatorEndpoint(const std::string &name)
{
    return this->instance(name).endpoint("operators");
}

std::vector<std::string> Cluster::instanceNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, process] : this->instances)
        names.push_back(name);
    return names;
}

std::string Cluster::instanceExcept(const std::vector<std::string> &excluded) const
{
    for (const std::string &name : this->instanceNames()) {
        if (std::find(excluded.begin(), excluded.end(), name) == excluded.end())
            return name;
    }
    throw std::runtime_error("every instance is excluded");
}

std::vector<history::Event> Cluster::events() const
{
    std::vector<history::Event> all;
    for (const auto &file : std::filesystem::directory_iterator(this->directory)) {
        if (file.path().extension() != ".history")
            continue;
        auto part = core::attempt([&] { return history::readHistoryFile(file.path().string()); });
        if (!part)
            throw std::runtime_error(part.error().message);
        all.insert(all.end(), part->begin(), part->end());
    }
    return all;
}

std::string Cluster::breaches() const
{
    std::string text;
    for (const history::Breach &breach : history::checkHistory(this->events())) {
        text += "promise " + std::to_string(breach.promise) + ": " + breach.message + '\n';
        for (const history::Event &event : breach.events)
            text += "    " + history::encodeEvent(event) + '\n';
    }
    return text;
}

} // namespace amaranthdale::testing
