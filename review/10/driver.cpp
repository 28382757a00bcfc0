// Two upstreams leave one after the other, 3 s after an outage of the store.
#include "../standins-2/world.h"

#include <algorithm>

namespace {

using namespace review;

constexpr auto outageTime = Milliseconds(2800);
constexpr auto firstDelay = Milliseconds(3200); // From the end of the outage: the store is stable.
constexpr auto secondDelay = Milliseconds(3700);
constexpr auto drainTime = Milliseconds(2000); // `drainMs` of the deployment.
// The second upstream serves for `drainMs` and this long after the acknowledgement, then exits.
constexpr auto exitDelay = Milliseconds(1500);
constexpr auto afterwards = Milliseconds(2000);
constexpr auto requestInterval = Milliseconds(25);
constexpr int deadlineMs = 1000;

// Notes when each request reaches the upstream.
class Leaver : public Upstream
{
public:
    using Upstream::Upstream;

    std::vector<std::pair<Milliseconds, std::string>> arrivals()
    {
        std::lock_guard lock(this->mutex);
        return this->arrived;
    }

protected:
    Milliseconds workOf(const Message &) override { return Milliseconds(120); }

    bool onArrival(const Message &request) override
    {
        std::lock_guard lock(this->mutex);
        this->arrived.emplace_back(now(), request.header("Request-Id"));
        return true;
    }

private:
    std::vector<std::pair<Milliseconds, std::string>> arrived;
};

// Of those that never report `draining`: the entry is removed.
Milliseconds leave(World &world, const Upstream &upstream)
{
    world.store.write("keyed.servers", upstream.self.id, std::nullopt);
    const Milliseconds acknowledged = now();
    world.record.write("store: entry of " + upstream.self.id + " is removed");
    return acknowledged;
}

} // namespace

int main(int, char **arguments)
{
    World world(arguments[1]);
    world.configure(configurationText("till", "non_idempotent", deadlineMs));
    const std::vector<std::string> zones{"nyarugenge", "gasabo", "kicukiro"};
    std::vector<std::unique_ptr<Leaver>> upstreams;
    for (int index = 0; index < 4; ++index) {
        upstreams.push_back(std::make_unique<Leaver>(
                UpstreamIdentity{"i-till-" + std::to_string(index + 1), "till",
                                 zones[static_cast<std::size_t>(index) % zones.size()]},
                world.upstreamAddress(index), world.record, world.store));
        upstreams.back()->announce("ready");
    }
    world.start();
    sleepUntil(now() + Milliseconds(5000));

    std::atomic<bool> isOver{false};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (const auto &instance : world.instances) {
        clients.emplace_back([&] {
            for (int number = 1; !isOver; ++number) {
                const std::string id = instance->name + "-" + std::to_string(number);
                const auto response =
                        exchange(instance->callers,
                                 requestText("POST", "/p/pay", id, deadlineMs, "amount=1"),
                                 Milliseconds(deadlineMs + 200));
                const int status = response ? response->status : 0;
                if (status != 200) {
                    world.record.write(id + " gets " + std::to_string(status));
                    lost += status != 503;
                }
                std::this_thread::sleep_for(requestInterval);
            }
        });
    }
    if (isTroubled()) {
        world.record.write("store: no answers from now on");
        world.store.isSilent = true;
    }
    std::this_thread::sleep_for(outageTime);
    world.store.isSilent = false;
    const Milliseconds returned = now();
    world.record.write("store: answers again");
    sleepUntil(returned + firstDelay);
    leave(world, *upstreams[0]);
    sleepUntil(returned + secondDelay);
    Leaver &second = *upstreams[1];
    const Milliseconds acknowledged = leave(world, second);
    sleepUntil(acknowledged + drainTime + exitDelay);
    const auto arrivals = second.arrivals();
    world.record.write(second.self.id + " exits");
    second.crash();
    std::this_thread::sleep_for(afterwards);
    isOver = true;
    for (std::thread &client : clients)
        client.join();

    int late = 0;
    for (const auto &[time, id] : arrivals) {
        if (time <= acknowledged + drainTime)
            continue;
        ++late;
        world.record.write(id + " reached " + second.self.id + " "
                           + std::to_string((time - acknowledged).count())
                           + " ms after the acknowledgement");
    }
    finish(world, late > 0,
           std::to_string(late) + " requests reached " + second.self.id
                   + " later than 2 s after the acknowledgement; " + std::to_string(lost)
                   + " payments without an answer of their upstream");
}
