// A request that crashes each upstream that runs it is sent again and again, beside payments.
#include "../standins-2/world.h"

#include <algorithm>

namespace {

using namespace review;

constexpr int upstreamCount = 4;
constexpr auto entryLifetime = Milliseconds(2610); // Three heartbeats of 870 ms.
constexpr auto downTime = Milliseconds(3000);
constexpr auto contactTime = Milliseconds(3000);
constexpr auto repeatInterval = Milliseconds(1000);
constexpr auto paymentWork = Milliseconds(250);
constexpr auto runTime = Milliseconds(35000);
constexpr int paymentClients = 4;
constexpr int allowedRetries = 3;
const std::string crashingTarget = "/p/crashing";
const std::string crashingBody = "amount=17&card=4411";

// What the upstreams saw of the crashing request.
struct Crashes
{
    std::mutex mutex;
    std::vector<Milliseconds> times; // Of arrivals that crashed an upstream.
};

class FragileUpstream : public Upstream
{
public:
    FragileUpstream(UpstreamIdentity identity, const Address &address, Record &record, Store &store,
                    Crashes &allCrashes)
        : Upstream(std::move(identity), address, record, store), crashes(allCrashes)
    { }

    std::function<void()> onCrash;

protected:
    Milliseconds workOf(const Message &) override { return paymentWork; }

    bool onArrival(const Message &request) override
    {
        if (request.target != crashingTarget || !isTroubled()
            || request.header("Target-Instance") != this->self.id)
            return true;
        if (this->ended.exchange(true))
            return false;
        {
            std::lock_guard lock(this->crashes.mutex);
            this->crashes.times.push_back(now());
        }
        this->record.write(this->self.id + " begins to run " + request.header("Request-Id") + " of "
                           + crashingTarget + " and crashes");
        this->crash();
        this->onCrash();
        return false;
    }

private:
    Crashes &crashes;
};

// Keeps `upstreamCount` upstreams running: each that crashed is back after some seconds.
class Fleet
{
public:
    explicit Fleet(World &runWorld) : world(runWorld) { }

    void startOne(int index)
    {
        const std::vector<std::string> zones{"nyarugenge", "gasabo", "kicukiro"};
        UpstreamIdentity identity;
        {
            std::lock_guard lock(this->mutex);
            identity.id = "i-till-" + std::to_string(index) + "-" + std::to_string(++this->lives);
        }
        identity.service = "till";
        identity.zone = zones[static_cast<std::size_t>(index) % zones.size()];
        auto upstream = std::make_shared<FragileUpstream>(
                identity, this->world.upstreamAddress(index), this->world.record, this->world.store,
                this->crashes);
        upstream->onCrash = [this, index, id = identity.id] {
            std::thread([this, index, id] {
                std::this_thread::sleep_for(entryLifetime);
                this->world.store.write("keyed.servers", id, std::nullopt);
                std::this_thread::sleep_for(downTime - entryLifetime);
                this->startOne(index);
            }).detach();
        };
        upstream->announce("ready");
        std::lock_guard lock(this->mutex);
        this->upstreams.push_back(std::move(upstream)); // Its threads may still run when it ended.
    }

    Crashes crashes;

private:
    World &world;
    std::mutex mutex;
    int lives = 0;
    std::vector<std::shared_ptr<FragileUpstream>> upstreams;
};

} // namespace

int main(int, char **arguments)
{
    World world(arguments[1]);
    Fleet fleet(world);
    world.configure(configurationText("till", "non_idempotent", 1000));
    for (int index = 0; index < upstreamCount; ++index)
        fleet.startOne(index);
    world.start();
    sleepUntil(now() + Milliseconds(4000));

    const Milliseconds end = now() + runTime;
    std::atomic<int> paid{0};
    std::atomic<int> unanswered{0};
    std::atomic<int> lastId{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < paymentClients; ++client) {
        clients.emplace_back([&, client] {
            while (now() < end) {
                const int number = ++lastId;
                const std::string id = "pay-" + std::to_string(number);
                const auto &instance = world.instances[static_cast<std::size_t>(
                        (client + number) % static_cast<int>(world.instances.size()))];
                const auto response =
                        exchange(instance->callers,
                                 requestText("POST", "/p/pay/" + std::to_string(number), id, 1000,
                                             "amount=" + std::to_string(number)),
                                 Milliseconds(1200));
                const int status = response ? response->status : 0;
                world.record.write(id + " gets " + std::to_string(status));
                paid += status == 200;
                unanswered += status != 200 && status != 503;
                std::this_thread::sleep_for(Milliseconds(30));
            }
        });
    }
    // The same path, caller and body each time, at any instance.
    for (int repeat = 0; now() < end; ++repeat) {
        const std::string id = "crash-" + std::to_string(repeat);
        const auto &instance =
                world.instances[static_cast<std::size_t>(repeat) % world.instances.size()];
        world.record.write(id + " is sent to " + instance->name);
        const auto response = exchange(instance->callers,
                                       requestText("POST", crashingTarget, id, 1000, crashingBody),
                                       Milliseconds(1200));
        world.record.write(id + " gets " + std::to_string(response ? response->status : 0));
        std::this_thread::sleep_for(repeatInterval);
    }
    for (std::thread &client : clients)
        client.join();

    std::vector<Milliseconds> times;
    {
        std::lock_guard lock(fleet.crashes.mutex);
        times = fleet.crashes.times;
    }
    long late = 0;
    if (times.size() >= 3) {
        const Milliseconds limit = times[2] + contactTime;
        late = std::count_if(times.begin(), times.end(),
                             [limit](Milliseconds time) { return time > limit; });
    }
    finish(world, late > allowedRetries,
           "the request crashed " + std::to_string(times.size()) + " upstreams, "
                   + std::to_string(late) + " of them later than 3 s after the third crash; "
                   + std::to_string(paid) + " payments answered with 200, "
                   + std::to_string(unanswered)
                   + " other payments without an answer of their upstream");
}
