// Greedy placement: the least loaded server gets the next range, the most loaded one gives some up.
#include "amaranthdale/keyspace/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace amaranthdale::keyspace {

namespace {

// Part of the load that is taken to be spread evenly over all keys. It keeps ranges without recent
// requests from counting as free.
constexpr double evenShare = 0.2;
constexpr double leastTotal = 20;

// Counts scatter by their square root; a smaller surplus is likely to be chance.
constexpr double noiseDeviations = 2;

struct ServerLoad
{
    const Candidate *candidate = nullptr;
    double load = 0;

    double relative() const { return this->load / this->candidate->capacity; }
};

class LoadModel
{
public:
    LoadModel(const std::vector<Holding> &holdings, const std::vector<Candidate> &candidates,
              const KeyLoad &keyLoad)
        : keys(keyLoad)
    {
        this->total = keyLoad.sum(KeyRange{0, keyCount - 1});
        this->perKey = evenShare * (this->total + leastTotal) / keyCount;
        for (const Candidate &candidate : candidates)
            this->servers[candidate.run].candidate = &candidate;
        for (const Holding &holding : holdings) {
            const auto found = this->servers.find(holding.owner);
            if (found != this->servers.end())
                found->second.load += this->loadOf(holding.keys);
        }
    }

    double loadOf(KeyRange range) const
    {
        return this->keys.sum(range) + this->perKey * range.size();
    }

    ServerLoad *least(const ServerLoad *except = nullptr)
    {
        ServerLoad *best = nullptr;
        for (auto &[run, server] : this->servers) {
            if (&server == except)
                continue;
            const bool warmer = best != nullptr && best->candidate->cold && !server.candidate->cold;
            const bool colder = best != nullptr && !best->candidate->cold && server.candidate->cold;
            if (best == nullptr || warmer || (!colder && server.relative() < best->relative()))
                best = &server;
        }
        return best;
    }

    ServerLoad *most()
    {
        ServerLoad *worst = nullptr;
        for (auto &[run, server] : this->servers) {
            if (worst == nullptr || server.relative() > worst->relative())
                worst = &server;
        }
        return worst;
    }

    double meanRelative() const
    {
        double load = 0;
        double capacity = 0;
        for (const auto &[run, server] : this->servers) {
            load += server.load;
            capacity += server.candidate->capacity;
        }
        return capacity > 0 ? load / capacity : 0;
    }

    /// Load that each key is taken to have besides its counts.
    double evenLoad() const { return this->perKey; }

    double totalRequests() const { return this->total; }

private:
    const KeyLoad &keys;
    double total = 0;
    double perKey = 0;
    std::map<ServerRun, ServerLoad> servers;
};

// The part of `server`'s holdings whose load is nearest to `excess`, without exceeding it much.
std::optional<KeyRange> choosePart(const std::vector<Holding> &holdings, const ServerRun &owner,
                                   const LoadModel &model, const KeyLoad &load, double excess,
                                   bool maySplit)
{
    std::optional<KeyRange> best;
    double bestLoad = 0;
    std::optional<KeyRange> heaviest;
    double heaviestLoad = 0;
    for (const Holding &holding : holdings) {
        if (holding.owner != owner)
            continue;
        const double size = model.loadOf(holding.keys);
        if (size <= excess * 1.2 && size > bestLoad) {
            best = holding.keys;
            bestLoad = size;
        }
        if (size > heaviestLoad) {
            heaviest = holding.keys;
            heaviestLoad = size;
        }
    }
    // Half of the excess by a whole range is good enough; else part of the heaviest one moves.
    if (best && bestLoad >= excess / 2)
        return best;
    if (!maySplit || !heaviest || heaviest->size() < 2)
        return best;
    const Key last =
            load.splitPoint(*heaviest, model.evenLoad(), std::min(excess, heaviestLoad / 2));
    return KeyRange{heaviest->first, last};
}

// Takes `part` out of the holding that contains it, whose rest may move as well.
void removeKeys(std::vector<Holding> &holdings, KeyRange part)
{
    const auto found =
            std::find_if(holdings.begin(), holdings.end(), [part](const Holding &holding) {
                return holding.keys.contains(part.first);
            });
    Holding before = *found;
    Holding after = *found;
    before.keys.last = part.first - 1;
    after.keys.first = part.last + 1;
    const bool hasBefore = found->keys.first < part.first;
    const bool hasAfter = part.last < found->keys.last;
    holdings.erase(found);
    if (hasBefore)
        holdings.push_back(std::move(before));
    if (hasAfter)
        holdings.push_back(std::move(after));
}

} // namespace

PlacementLimits PlacementLimits::scaledTo(std::size_t servers) const
{
    const auto larger = [servers](unsigned number, double perServer) {
        return std::max(number, static_cast<unsigned>(perServer * static_cast<double>(servers)));
    };
    PlacementLimits scaled = *this;
    scaled.initialRanges = larger(this->initialRanges, this->initialPerServer);
    scaled.mostRanges = larger(this->mostRanges, this->mostPerServer);
    scaled.mostMoves = larger(this->mostMoves, this->movesPerServer);
    return scaled;
}

std::vector<Holding> placeInitially(const std::vector<Candidate> &candidates,
                                    const PlacementLimits &base)
{
    const PlacementLimits limits = base.scaledTo(candidates.size());
    std::vector<Holding> holdings;
    const KeyLoad none;
    const Key size = keyCount / limits.initialRanges;
    for (unsigned index = 0; index < limits.initialRanges; ++index) {
        const Key first = index * size;
        const Key last = index + 1 == limits.initialRanges ? keyCount - 1 : first + size - 1;
        const KeyRange range{first, last};
        const auto owner = placeVacant({range}, holdings, candidates, none);
        holdings.push_back(Holding{range, owner.front(), 0, {}});
    }
    return holdings;
}

std::vector<ServerRun> placeVacant(const std::vector<KeyRange> &vacant,
                                   const std::vector<Holding> &holdings,
                                   const std::vector<Candidate> &candidates, const KeyLoad &load)
{
    LoadModel model(holdings, candidates, load);
    std::vector<ServerRun> owners;
    for (const KeyRange &range : vacant) {
        ServerLoad *target = model.least();
        owners.push_back(target == nullptr ? ServerRun{} : target->candidate->run);
        if (target != nullptr)
            target->load += model.loadOf(range);
    }
    return owners;
}

std::vector<Move> planMoves(const std::vector<Holding> &holdings,
                            const std::vector<Candidate> &candidates, const KeyLoad &load,
                            const PlacementLimits &base)
{
    const PlacementLimits limits = base.scaledTo(candidates.size());
    std::vector<Move> moves;
    LoadModel model(holdings, candidates, load);
    std::vector<Holding> rest = holdings;
    while (moves.size() < limits.mostMoves) {
        ServerLoad *from = model.most();
        ServerLoad *to = model.least(from);
        if (from == nullptr || to == nullptr || to->candidate->cold)
            break;
        const double mean = model.meanRelative();
        const bool empty = to->load == 0;
        const double surplus = from->load - mean * from->candidate->capacity;
        const bool uneven = model.totalRequests() >= limits.leastRequests
                && from->relative() > limits.tolerance * mean
                && surplus > noiseDeviations * std::sqrt(from->load);
        if (!uneven && !empty)
            break;
        const double excess = std::min((from->relative() - mean) * from->candidate->capacity,
                                       (mean - to->relative()) * to->candidate->capacity);
        if (excess <= 0)
            break;
        const bool maySplit = holdings.size() + moves.size() < limits.mostRanges;
        const auto part = choosePart(rest, from->candidate->run, model, load, excess, maySplit);
        if (!part)
            break;
        const double size = model.loadOf(*part);
        if (size >= from->load && from->candidate->capacity >= to->candidate->capacity)
            break; // A single key that is too hot for any server stays where it is.
        moves.push_back(Move{*part, to->candidate->run});
        from->load -= size;
        to->load += size;
        removeKeys(rest, *part);
    }
    return moves;
}

} // namespace amaranthdale::keyspace
