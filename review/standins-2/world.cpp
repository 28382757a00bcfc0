// Processes, settings, addresses and the record of a run.
#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;
constexpr int instanceCount = 3;
constexpr int storeIndex = 100;    // Last part of the store's address.
constexpr int linkIndex = 101;     // Of the link to it.
constexpr int upstreamIndex = 110; // Of the first upstream.
constexpr int addressCount = 140;  // Addresses on which the ports have to be free.
constexpr auto startTime = std::chrono::seconds(20);
// Ports of an instance, counted from the first one.
constexpr int callersPort = 0;
constexpr int readinessPort = 1;
constexpr int peersPort = 2;
constexpr int metricsPort = 3;
constexpr int portCount = 4;

const auto programStart = std::chrono::steady_clock::now();

std::string addressText(int block, int index)
{
    return "127.0." + std::to_string(block) + "." + std::to_string(index);
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

bool canBind(const std::string &ip, std::uint16_t port, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool bound =
            ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(descriptor);
    return bound;
}

int randomNumber(int first, int last)
{
    std::random_device device;
    return std::uniform_int_distribution<int>(first, last)(device);
}

} // namespace

Milliseconds now()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now()
                                                    - programStart);
}

void sleepUntil(Milliseconds time)
{
    std::this_thread::sleep_until(programStart + time);
}

std::int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void Record::write(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", static_cast<double>(now().count()) / 1000);
    std::lock_guard lock(this->mutex);
    this->file << time << line << std::endl;
}

std::uint16_t freePort(int block, int count)
{
    constexpr int attempts = 200;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const int first = randomNumber(15000, 30000); // Below the ephemeral ports.
        bool isFree = true;
        for (int index = 1; index <= count && isFree; ++index) {
            for (int port = first; port < first + portCount && isFree; ++port)
                isFree = canBind(addressText(block, index), static_cast<std::uint16_t>(port),
                                 SOCK_STREAM)
                        && canBind(addressText(block, index), static_cast<std::uint16_t>(port),
                                   SOCK_DGRAM);
        }
        if (isFree)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free port");
}

Instance::Instance(int index, std::string instanceZone, int block, const Address &storeAddress,
                   const std::vector<std::string> &seeds, std::uint16_t port, std::string runFolder)
    : name("edge-" + instanceZone + "-" + std::to_string(index)),
      callers{addressText(block, index), static_cast<std::uint16_t>(port + callersPort)},
      peers{addressText(block, index), static_cast<std::uint16_t>(port + peersPort)},
      zone(std::move(instanceZone)), readiness{addressText(block, index),
                                               static_cast<std::uint16_t>(port + readinessPort)},
      store(storeAddress), seedAddresses(seeds), folder(std::move(runFolder))
{ }

Instance::~Instance()
{
    if (this->process > 0) {
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

// The template of the deploy file, filled in as the platform does.
std::string Instance::settingsText() const
{
    std::string seeds;
    for (const std::string &seed : this->seedAddresses)
        seeds += (seeds.empty() ? "" : ",") + seed;
    const std::map<std::string, std::string> values{
            {"node", this->name},
            {"zone", this->zone},
            {"bind.http", this->callers.text()},
            {"bind.readiness", this->readiness.text()},
            {"ip", this->callers.ip},
            {"portRange.0", std::to_string(this->peers.port)},
            {"portRange.1", std::to_string(this->peers.port - peersPort + metricsPort)},
            {"platform.address", this->store.text()},
            {"seeds", seeds},
            {"platform.parts", "24"},
            {"bounds.holdMaxMs", "10000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.retryBudgetSlack", "58"},
            {"bounds.graceS", "6"},
            {"limits.cpus", "1"},
            {"limits.cpuQuota", "0.2"}};
    std::string text = readFile("deploy/settings.json");
    for (const auto &[field, value] : values) {
        const std::string placeholder = "{{" + field + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

void Instance::start()
{
    const std::string settings = this->folder + "/" + this->name + ".json";
    std::ofstream(settings) << this->settingsText();
    const std::string log = this->folder + "/" + this->name + ".log";
    const pid_t parent = ::getpid();
    this->process = ::fork();
    if (this->process != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(exitNotRun);
    const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // Command and environment of the deploy file.
    ::setenv("AMARANTHDALE_NODE_FILE", settings.c_str(), 1);
    ::setenv("AMARANTHDALE_REVOCATION_MS", "", 1);
    ::setenv("AMARANTHDALE_MEMORY_MB", "260", 1);
    ::setenv("AMARANTHDALE_MAX_DESCRIPTORS", "4100", 1);
    ::setenv("AMARANTHDALE_CONTRACTS", "base,drain,config,cost,retry,recover,own,places,platform",
             1);
    ::execl("target/platform/amaranthdale-edge", "target/platform/amaranthdale-edge", nullptr);
    ::_exit(exitNotRun);
}

bool Instance::isReady() const
{
    const auto response = exchange(this->readiness, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n",
                                   Milliseconds(500));
    return response && response->status == 200;
}

bool Instance::isRunning()
{
    return this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == 0;
}

void Instance::signal(int number) const
{
    ::kill(this->process, number);
}

World::World(const std::string &caseFolder)
    : record(caseFolder + "/record.txt"), block(randomNumber(2, 250)),
      port(freePort(this->block, addressCount)),
      store(Address{addressText(this->block, storeIndex), this->port}),
      folder((std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid())))
                     .string())
{
    std::filesystem::create_directories(this->folder);
}

void World::configure(const std::string &json)
{
    this->store.write("keyed.op", "config", json);
}

void World::start()
{
    const std::vector<std::string> zones{"nyarugenge", "gasabo", "kicukiro"};
    std::vector<std::string> seeds;
    for (int index = 1; index <= instanceCount; ++index)
        seeds.push_back(addressText(this->block, index) + ":"
                        + std::to_string(this->port + peersPort));
    for (int index = 1; index <= instanceCount; ++index) {
        const bool linked = this->storeLink && index == instanceCount;
        const Address storeAddress{addressText(this->block, linked ? linkIndex : storeIndex),
                                   this->port};
        this->instances.push_back(std::make_unique<Instance>(
                index, zones[static_cast<std::size_t>(index - 1)], this->block, storeAddress, seeds,
                this->port, this->folder));
        this->instances.back()->start();
    }
    const Milliseconds end = now() + startTime;
    for (const auto &instance : this->instances) {
        while (!instance->isReady()) {
            if (now() > end) {
                std::cerr << "the instances didn't become ready\n";
                this->instances.clear();
                ::_exit(exitNotRun);
            }
            std::this_thread::sleep_for(Milliseconds(100));
        }
    }
    this->record.write("all instances are ready");
}

Link &World::addStoreLink()
{
    this->storeLink =
            std::make_unique<Link>(Address{addressText(this->block, linkIndex), this->port},
                                   Address{addressText(this->block, storeIndex), this->port});
    return *this->storeLink;
}

Address World::upstreamAddress(int index) const
{
    return {addressText(this->block, upstreamIndex + index), this->port};
}

std::string configurationText(const std::string &service, const std::string &type, int timeoutMs)
{
    return R"({"version":"r1","services":[{"name":")" + service
            + R"(","healthPath":"/health","maxConnections":110,"warmupS":3.0,"warmupPerS":14.0}],)"
            + R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,)"
            + R"("idleTimeoutMs":15000},"virtualHosts":[{"host":"shop.example","pathRules":[{)"
            + R"("name":"r-1","pathPrefix":"/p/","type":")" + type + R"(","timeoutMs":)"
            + std::to_string(timeoutMs) + R"(,"targetLatencyMs":400,"priority":1,"service":")"
            + service + R"(","attempts":2}]}]})";
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &requestId, int deadlineMs, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + requestId
            + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void finish(World &world, bool broken, const std::string &summary)
{
    world.record.write(summary);
    world.record.write(broken ? "the rule was broken" : "the rule held");
    std::cout << summary << (broken ? ": broken" : ": held") << std::endl;
    bool allRunning = true;
    for (const auto &instance : world.instances)
        allRunning = instance->isRunning() && allRunning;
    if (!allRunning)
        world.record.write("an instance has ended");
    world.instances.clear();
    std::error_code ignored;
    std::filesystem::remove_all(world.folder, ignored);
    // Threads of stand-ins may still wait; the process ends with them.
    ::_exit(broken ? exitBroken : exitHeld);
}

} // namespace review
