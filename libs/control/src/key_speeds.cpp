// Speeds of servers in key control: reports to the granter, and what it shows to operators.
#include "amaranthdale/control/key_control.h"

#include <algorithm>
#include <cstdio>

namespace amaranthdale::control {

namespace {

constexpr auto speedReportInterval = std::chrono::milliseconds(500);
constexpr auto speedEventInterval = std::chrono::seconds(10);

std::string formatSpeed(double speed)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", speed);
    return text;
}

} // namespace

void KeyControl::addServerTimes(const std::vector<balance::ServerTimes> &servers)
{
    const core::TimePoint now = this->parts.clock.now();
    this->withState([&](State &current) { current.speeds.report(servers, now); });
}

// Only the granter places keys. Nothing if the placement doesn't use estimates.
std::optional<gateway::Gateway::SpeedsByServer> KeyControl::speeds() const
{
    if (!this->parts.serviceTimes)
        return std::nullopt;
    const core::TimePoint now = this->parts.clock.now();
    return this->state.with([now](const State &current) {
        return current.leaseManager.isGranter() ? current.speeds.estimates(now)
                                                : gateway::Gateway::SpeedsByServer();
    });
}

// Tells the placement which part of the slots the requests need, and raises the load of keys that
// have just become hot.
void KeyControl::followLoad(State &current) const
{
    constexpr float reportsInLoad = 1 / (1 - loadDecay);
    if (!current.leaseManager.isGranter())
        return;
    current.load.followShift(reportsInLoad);
    double slots = 0;
    for (const auto &candidate : current.leaseManager.servers())
        slots += candidate.capacity;
    const core::Duration average = current.speeds.averageTime(this->parts.clock.now());
    if (slots <= 0 || average == core::Duration::zero())
        return;
    const double requests = current.load.sum({0, keyspace::keyCount - 1});
    const auto period = std::chrono::duration<double>(speedReportInterval) * reportsInLoad;
    const double needed =
            requests / period.count() * std::chrono::duration<double>(average).count();
    current.leaseManager.setUtilisation(needed / slots);
}

// A new granter gets everything that is known here at once: its predecessor may not be able to hand
// its estimates over, and placement by equal speeds would move keys that have to move back.
void KeyControl::reportSpeeds(core::TimePoint now)
{
    if (!this->parts.serviceTimes)
        return;
    using Extent = balance::ServiceTimeBoard::Extent;
    std::string granterPeer;
    bool isSelf = false;
    const auto extent = this->withState([&](State &current) -> std::optional<Extent> {
        const auto &record = current.leaseManager.assignment();
        if (!record)
            return std::nullopt;
        const bool changed = record->granter != current.speedsReportedTo;
        if (!changed && now < current.nextSpeedReport)
            return std::nullopt;
        current.speedsReportedTo = record->granter;
        current.nextSpeedReport = now + speedReportInterval;
        granterPeer = record->granterPeer;
        isSelf = record->granter == this->self;
        return changed ? Extent::All : Extent::Changed;
    });
    if (!extent)
        return;
    const auto servers = this->parts.serviceTimes->report(this->service, *extent, now);
    if (servers.empty())
        return;
    if (isSelf)
        return this->addServerTimes(servers);
    this->parts.peers.reportSpeeds(granterPeer, this->service, servers);
}

// Counts the moves by reason, and reports the spread of the estimates every 10 s.
void KeyControl::observePlacement(core::TimePoint now)
{
    if (!this->parts.serviceTimes)
        return;
    keyspace::MoveCounts added;
    std::vector<double> speeds;
    this->withState([&](State &current) {
        const keyspace::MoveCounts total = current.leaseManager.moveCounts();
        const keyspace::MoveCounts counted = std::exchange(current.countedMoves, total);
        added = {total.hotKey - counted.hotKey, total.balance - counted.balance,
                 total.consolidation - counted.consolidation, total.postponed - counted.postponed,
                 total.keys - counted.keys};
        if (!current.leaseManager.isGranter() || now < current.nextSpeedEvent)
            return;
        current.nextSpeedEvent = now + speedEventInterval;
        for (const auto &[server, estimate] : current.speeds.estimates(now))
            speeds.push_back(estimate.speed);
    });
    auto &statistics = this->parts.gateway.statistics();
    const std::pair<const char *, std::uint64_t> moves[] = {
            {"reason=\"hot-key\"", added.hotKey},
            {"reason=\"balance\"", added.balance},
            {"reason=\"consolidation\"", added.consolidation},
            {"reason=\"postponed\"", added.postponed}};
    for (const auto &[label, amount] : moves) {
        if (amount > 0)
            statistics.count("key_moves_total", label, amount);
    }
    if (added.keys > 0)
        statistics.count("keys_moved_total", {}, added.keys);
    if (speeds.empty())
        return;
    std::sort(speeds.begin(), speeds.end());
    this->parts.events.write(log::Severity::Info, "server-speeds",
                             {{"service", this->service.value},
                              {"servers", std::to_string(speeds.size())},
                              {"smallest", formatSpeed(speeds.front())},
                              {"median", formatSpeed(speeds[speeds.size() / 2])},
                              {"largest", formatSpeed(speeds.back())}});
}

} // namespace amaranthdale::control
