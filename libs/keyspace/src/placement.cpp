// Greedy placement: new ranges go to the least loaded server, and the most loaded server gives some
// of its ranges away.
#include "amaranthdale/keyspace/placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace amaranthdale::keyspace {

namespace {

// Fraction of the load that is assumed to be uniformly distributed over all keys, so that ranges
// without recent requests have a cost.
constexpr double uniformLoadShare = 0.2;
// Added to the total, so that this holds without any recent requests.
constexpr double baseRequests = 20;

// The standard deviation of a request count is about its square root; a surplus below this many
// deviations is probably noise.
constexpr double noiseStandardDeviations = 2;

struct ServerLoad
{
    const Candidate *candidate = nullptr;
    double load = 0;

    double relativeLoad() const { return this->load / this->candidate->capacity; }
};

class LoadModel
{
public:
    LoadModel(const std::vector<OwnedRange> &ownedRanges, const std::vector<Candidate> &candidates,
              const KeyLoad &keyLoad)
        : keys(keyLoad)
    {
        this->total = keyLoad.sum(KeyRange{0, keyCount - 1});
        this->loadPerKey = uniformLoadShare * (this->total + baseRequests) / keyCount;
        for (const Candidate &candidate : candidates)
            this->servers[candidate.server].candidate = &candidate;
        for (const OwnedRange &ownedRange : ownedRanges) {
            const auto found = this->servers.find(ownedRange.owner);
            if (found != this->servers.end())
                found->second.load += this->loadOf(ownedRange.keys);
        }
    }

    double loadOf(KeyRange range) const
    {
        return this->keys.sum(range) + this->loadPerKey * range.size();
    }

    ServerLoad *leastLoaded(const ServerLoad *excluded = nullptr)
    {
        ServerLoad *best = nullptr;
        for (auto &[run, server] : this->servers) {
            if (&server == excluded)
                continue;
            const bool isWarmer =
                    best != nullptr && best->candidate->cold && !server.candidate->cold;
            const bool isColder =
                    best != nullptr && !best->candidate->cold && server.candidate->cold;
            if (best == nullptr || isWarmer
                || (!isColder && server.relativeLoad() < best->relativeLoad()))
                best = &server;
        }
        return best;
    }

    ServerLoad *mostLoaded()
    {
        ServerLoad *worst = nullptr;
        for (auto &[run, server] : this->servers) {
            if (worst == nullptr || server.relativeLoad() > worst->relativeLoad())
                worst = &server;
        }
        return worst;
    }

    double meanRelativeLoad() const
    {
        double load = 0;
        double capacity = 0;
        for (const auto &[run, server] : this->servers) {
            load += server.load;
            capacity += server.candidate->capacity;
        }
        return capacity > 0 ? load / capacity : 0;
    }

    /// The load assumed for each key in addition to its request count.
    double uniformLoadPerKey() const { return this->loadPerKey; }

    double totalRequests() const { return this->total; }

private:
    const KeyLoad &keys;
    double total = 0;
    double loadPerKey = 0;
    std::map<ServerIncarnation, ServerLoad> servers;
};

// Selects keys of `owner` whose load is closest to `excess` without exceeding it by much: a whole
// range, or a prefix of the most loaded one if `maySplit`.
std::optional<KeyRange> selectKeysToMove(const std::vector<OwnedRange> &ownedRanges,
                                         const ServerIncarnation &owner, const LoadModel &model,
                                         const KeyLoad &load, double excess, bool maySplit)
{
    std::optional<KeyRange> best;
    double bestLoad = 0;
    std::optional<KeyRange> heaviest;
    double heaviestLoad = 0;
    for (const OwnedRange &ownedRange : ownedRanges) {
        if (ownedRange.owner != owner)
            continue;
        const double rangeLoad = model.loadOf(ownedRange.keys);
        if (rangeLoad <= excess * 1.2 && rangeLoad > bestLoad) {
            best = ownedRange.keys;
            bestLoad = rangeLoad;
        }
        if (rangeLoad > heaviestLoad) {
            heaviest = ownedRange.keys;
            heaviestLoad = rangeLoad;
        }
    }
    // A whole range with at least half of the excess is sufficient; otherwise the most loaded range
    // is split.
    if (best && bestLoad >= excess / 2)
        return best;
    if (!maySplit || !heaviest || heaviest->size() < 2)
        return best;
    const Key last = load.splitPoint(*heaviest, model.uniformLoadPerKey(),
                                     std::min(excess, heaviestLoad / 2));
    return KeyRange{heaviest->first, last};
}

// Removes `keys` from the owned range that contains them. The rest of the owned range may still be
// moved.
void removeKeys(std::vector<OwnedRange> &ownedRanges, KeyRange keys)
{
    const auto found = std::find_if(
            ownedRanges.begin(), ownedRanges.end(),
            [keys](const OwnedRange &ownedRange) { return ownedRange.keys.contains(keys.first); });
    OwnedRange before = *found;
    OwnedRange after = *found;
    before.keys.last = keys.first - 1;
    after.keys.first = keys.last + 1;
    const bool hasBefore = found->keys.first < keys.first;
    const bool hasAfter = keys.last < found->keys.last;
    ownedRanges.erase(found);
    if (hasBefore)
        ownedRanges.push_back(std::move(before));
    if (hasAfter)
        ownedRanges.push_back(std::move(after));
}

} // namespace

PlacementLimits PlacementLimits::scaledTo(std::size_t servers) const
{
    const auto maxOf = [servers](unsigned minimum, double perServer) {
        return std::max(minimum, static_cast<unsigned>(perServer * static_cast<double>(servers)));
    };
    PlacementLimits scaled = *this;
    scaled.initialRanges = maxOf(this->initialRanges, this->initialRangesPerServer);
    scaled.maxRanges = maxOf(this->maxRanges, this->maxRangesPerServer);
    scaled.maxMoves = maxOf(this->maxMoves, this->maxMovesPerServer);
    return scaled;
}

std::vector<OwnedRange> makeInitialPlacement(const std::vector<Candidate> &candidates,
                                             const PlacementLimits &base)
{
    const PlacementLimits limits = base.scaledTo(candidates.size());
    std::vector<OwnedRange> ownedRanges;
    const KeyLoad none;
    const Key size = keyCount / limits.initialRanges;
    for (unsigned index = 0; index < limits.initialRanges; ++index) {
        const Key first = index * size;
        const Key last = index + 1 == limits.initialRanges ? keyCount - 1 : first + size - 1;
        const KeyRange range{first, last};
        const auto owner = chooseOwners({range}, ownedRanges, candidates, none);
        ownedRanges.push_back(OwnedRange{range, owner.front(), 0, {}});
    }
    return ownedRanges;
}

std::vector<ServerIncarnation> chooseOwners(const std::vector<KeyRange> &ranges,
                                            const std::vector<OwnedRange> &ownedRanges,
                                            const std::vector<Candidate> &candidates,
                                            const KeyLoad &load)
{
    LoadModel model(ownedRanges, candidates, load);
    std::vector<ServerIncarnation> owners;
    for (const KeyRange &range : ranges) {
        ServerLoad *target = model.leastLoaded();
        owners.push_back(target == nullptr ? ServerIncarnation{} : target->candidate->server);
        if (target != nullptr)
            target->load += model.loadOf(range);
    }
    return owners;
}

std::vector<Move> planMoves(const std::vector<OwnedRange> &ownedRanges,
                            const std::vector<Candidate> &candidates, const KeyLoad &load,
                            const PlacementLimits &base)
{
    const PlacementLimits limits = base.scaledTo(candidates.size());
    std::vector<Move> moves;
    LoadModel model(ownedRanges, candidates, load);
    std::vector<OwnedRange> remaining = ownedRanges;
    while (moves.size() < limits.maxMoves) {
        ServerLoad *from = model.mostLoaded();
        ServerLoad *to = model.leastLoaded(from);
        if (from == nullptr || to == nullptr || to->candidate->cold)
            break;
        const double mean = model.meanRelativeLoad();
        const bool targetIsEmpty = to->load == 0;
        const double surplus = from->load - mean * from->candidate->capacity;
        const bool overloaded = model.totalRequests() >= limits.minRequests
                && from->relativeLoad() > limits.maxRelativeLoad * mean
                && surplus > noiseStandardDeviations * std::sqrt(from->load);
        if (!overloaded && !targetIsEmpty)
            break;
        const double excess = std::min((from->relativeLoad() - mean) * from->candidate->capacity,
                                       (mean - to->relativeLoad()) * to->candidate->capacity);
        if (excess <= 0)
            break;
        const bool maySplit = ownedRanges.size() + moves.size() < limits.maxRanges;
        const auto keys =
                selectKeysToMove(remaining, from->candidate->server, model, load, excess, maySplit);
        if (!keys)
            break;
        const double movedLoad = model.loadOf(*keys);
        if (movedLoad >= from->load && from->candidate->capacity >= to->candidate->capacity)
            break; // A single key that exceeds the capacity of any server is not moved.
        moves.push_back(Move{*keys, to->candidate->server});
        from->load -= movedLoad;
        to->load += movedLoad;
        removeKeys(remaining, *keys);
    }
    return moves;
}

} // namespace amaranthdale::keyspace
