// Warm-up limits of cold servers whose slots several instances might allocate.
#include "slots_fixture.h"

#include <algorithm>
#include <deque>

using namespace amaranthdale;
using namespace amaranthdale::slots;
using namespace amaranthdale::slots::testing;
using std::chrono::seconds;

namespace {

constexpr double warmupRate = 9.2;
constexpr double maxRequestsPerSecond = 1.5 * warmupRate + 8; // The platform's bound.
constexpr auto warmup = seconds(3);
constexpr auto serviceTime = milliseconds(200);
constexpr std::uint16_t easternInstances = 40;
constexpr std::uint16_t allInstances = 44;
constexpr auto propagationDelay = milliseconds(2); // Between two instances.
constexpr auto requestInterval = milliseconds(2);
const std::vector<std::string> services{"catalogue", "orders", "prices"};

// Two data centres. The instances of the eastern one send requests in turn.
class Deployment
{
public:
    Deployment()
    {
        std::vector<membership::Member> members;
        for (std::uint16_t port = 1; port <= allInstances; ++port) {
            const bool isEast = port <= easternInstances;
            const double cores = port % 20 == 1 ? 0.5 : 0.1;
            members.push_back(
                    member("i" + std::to_string(port), isEast ? east : west, port, cores));
        }
        catalog::Catalogue catalogue;
        catalogue.version = 2;
        for (const std::string &name : services) {
            catalog::Service service;
            service.name = core::ServiceName(name);
            service.warmup = warmup;
            service.warmupRate = warmupRate;
            catalogue.services.push_back(service);
        }
        for (const membership::Member &own : members) {
            Instance &instance = *this->instances.emplace_back(
                    std::make_unique<Instance>(this->clock, this->network, own));
            instance.members.update(members, this->clock.now());
            instance.gateway.setCatalogue(catalogue);
        }
        this->changeDirectories([](catalog::Directory &servers) {
            servers.retain({}, core::TimePoint{});
            for (const std::string &service : services) {
                for (const char *name : {"e1", "e2", "w1", "w2"}) {
                    catalog::BackendServer server;
                    server.name = core::ServerName(name + service);
                    server.service = core::ServiceName(service);
                    server.dataCentre = *name == 'e' ? east : west;
                    server.slots = 4;
                    servers.announce(server);
                }
            }
        });
    }

    void changeDirectories(const std::function<void(catalog::Directory &)> &change)
    {
        for (const auto &instance : this->instances)
            instance->gateway.changeDirectory(change);
    }

    // The instances learn of the change one after the other, those that allocate slots last.
    void setDrained(const std::set<core::DataCentreName> &drained)
    {
        for (auto instance = this->instances.rbegin(); instance != this->instances.rend();
             ++instance) {
            const core::TimePoint now = this->clock.now();
            (*instance)->gateway.changeDirectory([&drained, now](catalog::Directory &servers) {
                servers.setDrained(drained, now, warmup);
            });
            this->run(propagationDelay);
        }
    }

    // Requests a slot at each interval and holds what is granted for the service time.
    void run(core::Duration duration)
    {
        const core::TimePoint end = this->clock.now() + duration;
        while (this->clock.now() < end) {
            Instance &instance = *this->instances[++this->requests % easternInstances];
            const std::string &service = services[this->requests % services.size()];
            this->open.push_back({&instance, instance.requestSlot(this->clock, service)});
            this->clock.advance(requestInterval);
            this->recordGrants();
        }
    }

    // The largest number of grants of one eastern server within a second.
    std::size_t peakOfColdServers() const
    {
        std::size_t peak = 0;
        for (const auto &[server, times] : this->grants) {
            for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] > seconds(1))
                    ++first;
                peak = std::max(peak, last - first + 1);
            }
        }
        return peak;
    }

    std::size_t coldServersUsed() const { return this->grants.size(); }

    void forgetGrants() { this->grants.clear(); }

    clock::ManualClock clock;
    Network network;
    std::vector<std::unique_ptr<Instance>> instances;

private:
    struct Request
    {
        Instance *instance = nullptr;
        Ticket ticket = 0;
        core::TimePoint grantedAt{};
    };

    void recordGrants()
    {
        const core::TimePoint now = this->clock.now();
        std::erase_if(this->open, [&](Request &request) {
            if (!request.instance->isDecided(request.ticket))
                return false;
            const std::string server = request.instance->grantedServer(request.ticket);
            if (server.empty())
                return true;
            if (request.grantedAt == core::TimePoint{}) {
                request.grantedAt = now;
                if (server.front() == 'e')
                    this->grants[server].push_back(now);
            }
            if (now < request.grantedAt + serviceTime)
                return false;
            request.instance->coordinator->release(request.ticket, balance::AttemptResult::Answered,
                                                   serviceTime, {});
            return true;
        });
    }

    std::size_t requests = 0;
    std::deque<Request> open;
    std::map<std::string, std::vector<core::TimePoint>> grants;
};

} // namespace

// Requesters look for another allocator while there is none, so the length of the outage matters.
TEST_CASE("servers that return cold together get no more than their warm-up rate allows")
{
    for (const auto outage : {1500, 2000, 2500, 3000, 3500, 4000, 5000, 6000, 8000}) {
        CAPTURE(outage);
        Deployment test;
        test.run(seconds(1));
        test.setDrained({east});
        test.run(milliseconds(outage));
        test.forgetGrants();
        test.setDrained({});
        test.run(milliseconds(2700)); // Ends before the servers are warm.
        CHECK(test.coldServersUsed() > 0);
        CHECK(static_cast<double>(test.peakOfColdServers()) <= maxRequestsPerSecond);
    }
}
