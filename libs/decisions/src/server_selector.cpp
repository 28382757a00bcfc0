// Server selection by observed and by reported load.
#include "amaranthdale/decisions/server_selector.h"

#include <algorithm>
#include <utility>

namespace amaranthdale::decisions {

namespace {

// The weight of a view falls linearly from 1 at the first age to 0 at the second.
constexpr core::Duration freshAge = std::chrono::milliseconds(100);
constexpr core::Duration staleAge = std::chrono::seconds(1);
// Load assumed for a server whose view is stale.
constexpr double staleViewLoad = 0.5;

std::vector<std::size_t> eligibleIndexes(const std::vector<ServerView> &servers,
                                         const core::ServerName &alreadyTried)
{
    std::vector<std::size_t> indexes;
    indexes.reserve(servers.size());
    for (std::size_t index = 0; index < servers.size(); ++index) {
        if (isEligible(servers[index]))
            indexes.push_back(index);
    }
    if (indexes.size() > 1)
        std::erase_if(indexes,
                      [&](std::size_t index) { return servers[index].name == alreadyTried; });
    return indexes;
}

double staleness(const ServerView &server, core::TimePoint now)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds age = now - server.observedAt;
    const double share = (age - Seconds(freshAge)) / Seconds(staleAge - freshAge);
    return std::clamp(share, 0.0, 1.0);
}

} // namespace

bool isEligible(const ServerView &server)
{
    return !server.drained && !server.leaving && server.controllerKnown;
}

double observedLoad(const ServerView &server, core::TimePoint now)
{
    const double limit = std::max(server.limit, 1U);
    const double viewedLoad = (server.inFlight + server.queued) / limit;
    const double weight = staleness(server, now);
    return viewedLoad * (1 - weight) + staleViewLoad * weight + server.sentSince / limit;
}

std::optional<std::size_t> TwoChoices::choose(const std::vector<ServerView> &servers,
                                              const core::ServerName &alreadyTried,
                                              core::TimePoint now, RandomSource &random) const
{
    const std::vector<std::size_t> indexes = eligibleIndexes(servers, alreadyTried);
    if (indexes.empty())
        return std::nullopt;
    if (indexes.size() == 1)
        return indexes.front();
    const std::size_t first = randomBelow(random, indexes.size());
    const std::size_t offset = 1 + randomBelow(random, indexes.size() - 1);
    const std::size_t firstServer = indexes[first];
    const std::size_t secondServer = indexes[(first + offset) % indexes.size()];
    return observedLoad(servers[secondServer], now) < observedLoad(servers[firstServer], now)
            ? secondServer
            : firstServer;
}

std::optional<std::size_t> LeastReportedLoad::choose(const std::vector<ServerView> &servers,
                                                     const core::ServerName &alreadyTried,
                                                     core::TimePoint, RandomSource &random) const
{
    const std::vector<std::size_t> indexes = eligibleIndexes(servers, alreadyTried);
    if (indexes.empty())
        return std::nullopt;
    // A random start distributes ties evenly.
    const std::size_t start = randomBelow(random, indexes.size());
    std::size_t best = indexes[start];
    for (std::size_t step = 1; step < indexes.size(); ++step) {
        const std::size_t candidate = indexes[(start + step) % indexes.size()];
        if (servers[candidate].reportedLoad < servers[best].reportedLoad)
            best = candidate;
    }
    return best;
}

} // namespace amaranthdale::decisions
