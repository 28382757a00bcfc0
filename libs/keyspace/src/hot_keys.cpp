// Selection of hot keys and of the servers for them.
#include "amaranthdale/keyspace/hot_keys.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

// Ranges and servers during one call of `HotKeyPlanner::plan`.
class PlanBuilder
{
public:
    PlanBuilder(const std::vector<OwnedRange> &ownedRanges,
                const std::vector<Candidate> &usableServers, const KeyLoad &keyLoad,
                const HotKeyLimits &hotKeyLimits, double meanLoad)
        : ranges(ownedRanges), candidates(usableServers), load(keyLoad), limits(hotKeyLimits),
          mean(meanLoad)
    {
        for (const OwnedRange &range : this->ranges)
            this->loads[range.owner] += this->load.sum(range.keys);
    }

    void place(Key key)
    {
        const double keyLoad = this->load.sum({key, key});
        const auto found =
                std::find_if(this->ranges.begin(), this->ranges.end(),
                             [key](const OwnedRange &range) { return range.keys.contains(key); });
        const Candidate *owner = this->find(found->owner);
        const Candidate *fastest = this->fastest();
        if (fastest == nullptr)
            return;
        const bool stays = owner != nullptr && !this->result.reserved.contains(owner->server)
                && fastest->capacity < owner->capacity * this->limits.minSpeedGain;
        const Candidate *target = stays ? owner : fastest;
        const double moveCost = this->limits.costPerKey
                + this->limits.movePeriods
                        * std::min(keyLoad, this->saturatedLoad(owner ? *owner : *target));
        const double gain = owner == nullptr ? keyLoad
                                             : this->limits.lifetimePeriods
                        * (this->served(keyLoad, *target, keyLoad)
                           - this->served(keyLoad, *owner, this->loads[owner->server]));
        if (target != owner) {
            if (gain <= moveCost) {
                if (owner == nullptr)
                    return;
                target = owner;
            } else {
                this->add({{key, key}, target->server});
            }
        }
        this->result.reserved.insert(target->server);
        this->clear(*target, key);
    }

    HotKeyPlanner::Plan result;

private:
    const Candidate *find(const ServerIncarnation &server) const
    {
        for (const Candidate &candidate : this->candidates) {
            if (candidate.server == server)
                return &candidate;
        }
        return nullptr;
    }

    // Load that the server executes without refusing requests.
    double saturatedLoad(const Candidate &server) const
    {
        return this->limits.saturation * this->mean * server.capacity;
    }

    // Part of `part` that a server with the total load `total` executes.
    double served(double part, const Candidate &server, double total) const
    {
        return total <= 0 ? part : part * std::min(1.0, this->saturatedLoad(server) / total);
    }

    // The fastest warm server without a hot key. Of those that are about as fast, the one whose
    // other keys cost least to move.
    const Candidate *fastest() const
    {
        std::map<ServerIncarnation, Key> keys;
        for (const OwnedRange &range : this->ranges)
            keys[range.owner] += range.keys.size();
        const Candidate *best = nullptr;
        constexpr double aboutAsFast = 0.95;
        double highest = 0;
        for (const Candidate &candidate : this->candidates) {
            if (!candidate.cold && !this->result.reserved.contains(candidate.server))
                highest = std::max(highest, candidate.capacity);
        }
        for (const Candidate &candidate : this->candidates) {
            if (candidate.cold || this->result.reserved.contains(candidate.server)
                || candidate.capacity < highest * aboutAsFast)
                continue;
            if (best == nullptr || keys[candidate.server] < keys[best->server])
                best = &candidate;
        }
        return best;
    }

    // Moves the other ranges of a server with a hot key away, if what they lose there is worth it.
    void clear(const Candidate &server, Key hotKey)
    {
        const double total = this->loads[server.server];
        const double lostShare = 1 - this->served(1, server, total);
        const std::vector<OwnedRange> before = this->ranges;
        for (const OwnedRange &range : before) {
            if (range.owner != server.server)
                continue;
            if (!range.keys.contains(hotKey)) {
                this->moveIfWorth(range.keys, lostShare);
                continue;
            }
            if (range.keys.first < hotKey)
                this->moveIfWorth({range.keys.first, hotKey - 1}, lostShare);
            if (hotKey < range.keys.last)
                this->moveIfWorth({hotKey + 1, range.keys.last}, lostShare);
        }
    }

    void moveIfWorth(KeyRange keys, double lostShare)
    {
        const double moved = this->load.sum(keys);
        const double gain = this->limits.lifetimePeriods * moved * lostShare;
        const double cost =
                this->limits.costPerKey * keys.size() + this->limits.movePeriods * moved;
        if (gain <= cost)
            return;
        const Candidate *target = nullptr;
        for (const Candidate &candidate : this->candidates) {
            if (candidate.cold || this->result.reserved.contains(candidate.server))
                continue;
            if (target == nullptr
                || (this->loads[candidate.server] + moved) / candidate.capacity
                        < (this->loads[target->server] + moved) / target->capacity)
                target = &candidate;
        }
        if (target != nullptr)
            this->add({keys, target->server});
    }

    void add(const Move &move)
    {
        const double moved = this->load.sum(move.keys);
        const auto from = std::find_if(
                this->ranges.begin(), this->ranges.end(),
                [&move](const OwnedRange &range) { return range.keys.contains(move.keys.first); });
        this->loads[from->owner] -= moved;
        this->loads[move.to] += moved;
        this->ranges = applyMoves(this->ranges, {move});
        this->result.moves.push_back(move);
    }

    std::vector<OwnedRange> ranges;
    const std::vector<Candidate> &candidates;
    const KeyLoad &load;
    const HotKeyLimits &limits;
    const double mean; ///< Load per capacity without hot keys.
    std::map<ServerIncarnation, double> loads;
};

} // namespace

std::vector<OwnedRange> applyMoves(const std::vector<OwnedRange> &ownedRanges,
                                   const std::vector<Move> &moves)
{
    std::vector<OwnedRange> ranges = ownedRanges;
    for (const Move &move : moves) {
        const auto found =
                std::find_if(ranges.begin(), ranges.end(), [&move](const OwnedRange &range) {
                    return range.keys.contains(move.keys.first);
                });
        if (found == ranges.end() || !found->keys.contains(move.keys.last))
            continue;
        OwnedRange before = *found;
        OwnedRange after = *found;
        before.keys.last = move.keys.first - 1;
        after.keys.first = move.keys.last + 1;
        const bool hasBefore = found->keys.first < move.keys.first;
        const bool hasAfter = move.keys.last < found->keys.last;
        found->keys = move.keys;
        found->owner = move.to;
        auto position = found - ranges.begin();
        if (hasBefore)
            ranges.insert(ranges.begin() + position++, std::move(before));
        if (hasAfter)
            ranges.insert(ranges.begin() + position + 1, std::move(after));
    }
    return ranges;
}

HotKeyPlanner::Plan HotKeyPlanner::plan(const std::vector<OwnedRange> &ownedRanges,
                                        const std::vector<Candidate> &candidates,
                                        const KeyLoad &load)
{
    double capacity = 0;
    double highestCapacity = 0;
    for (const Candidate &candidate : candidates) {
        capacity += candidate.capacity;
        highestCapacity = std::max(highestCapacity, candidate.capacity);
    }
    const std::set<Key> earlier = std::exchange(this->hotKeys, {});
    if (capacity <= 0 || ownedRanges.empty())
        return {};
    // The heaviest keys are removed from the mean one after the other: a hot key must not raise the
    // threshold for itself.
    double remaining = load.sum({0, keyCount - 1});
    std::vector<Key> found;
    for (const Key key : load.heaviest(this->limits.maxHotKeys, this->limits.minRequests)) {
        const double keyLoad = load.sum({key, key});
        const double threshold =
                this->limits.minRelativeLoad * (remaining - keyLoad) / capacity * highestCapacity;
        const double share = earlier.contains(key) ? this->limits.releaseShare : 1;
        if (keyLoad < threshold * share)
            break;
        remaining -= keyLoad;
        found.push_back(key);
    }
    PlanBuilder builder(ownedRanges, candidates, load, this->limits, remaining / capacity);
    for (const Key key : found) {
        builder.place(key);
        this->hotKeys.insert(key);
    }
    return std::move(builder.result);
}

} // namespace amaranthdale::keyspace
