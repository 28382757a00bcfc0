// Greedy placement by load per key: the shortest run of keys with enough load moves.
#include "amaranthdale/keyspace/work_placement.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace amaranthdale::keyspace {

namespace {

// As in the placement by requests: part of the load that is assumed to be spread over all keys, and
// standard deviations of the load expected of the server below which a surplus is probably noise.
constexpr double uniformLoadShare = 0.2;
constexpr double baseRequests = 20;
constexpr double noiseStandardDeviations = 2;
// Variance of a load relative to its mean. It is 1 for a number of requests, and smaller for a sum
// in which older requests count less: (1 - d) / (1 - d * d) for a decay by d = 0.8, and a little
// more as requests differ in work.
constexpr double relativeVariance = 0.6;

// A move may exceed the load that was to be moved by this factor.
constexpr double maxOvershoot = 1.2;
// Less than this share of a surplus isn't worth a move.
constexpr double minShareOfExcess = 0.25;

struct Server
{
    const Candidate *candidate = nullptr;
    double load = 0;
    std::vector<KeyRange> ranges; ///< Not moved in this plan.
    bool exhausted = false;       ///< Has nothing left whose move would help.

    double relativeLoad() const { return this->load / this->candidate->capacity; }
};

class Planner
{
public:
    Planner(const std::vector<OwnedRange> &ownedRanges, const std::vector<Candidate> &candidates,
            const KeyLoad &load, const WorkPlacementLimits &workLimits)
        : limits(workLimits), scaled(workLimits.placement.scaledTo(candidates.size())),
          rangeCount(ownedRanges.size()), sums(load.prefixSums())
    {
        const double perKey = uniformLoadShare * (this->sums.back() + baseRequests) / keyCount;
        this->total = this->sums.back();
        for (std::size_t key = 0; key < this->sums.size(); ++key)
            this->sums[key] += perKey * static_cast<double>(key);
        this->servers.reserve(candidates.size());
        std::map<ServerIncarnation, std::size_t> indices;
        double capacity = 0;
        for (const Candidate &candidate : candidates) {
            indices.emplace(candidate.server, this->servers.size());
            this->servers.push_back(Server{&candidate, 0, {}, false});
            capacity += candidate.capacity;
        }
        double all = 0;
        for (const OwnedRange &range : ownedRanges) {
            const auto index = indices.find(range.owner);
            if (index == indices.end())
                continue;
            Server &server = this->servers[index->second];
            server.load += this->loadOf(range.keys);
            all += this->loadOf(range.keys);
            server.ranges.push_back(range.keys);
        }
        this->mean = capacity > 0 ? all / capacity : 0;
    }

    std::vector<Move> plan()
    {
        std::vector<Move> moves;
        while (moves.size() < this->scaled.maxMoves) {
            Server *from = this->mostLoaded();
            Server *to = from == nullptr ? nullptr : this->leastLoaded(*from);
            if (to == nullptr)
                break;
            if (to->load > 0 && !this->isOverloaded(*from))
                break;
            const double excess =
                    std::min((from->relativeLoad() - this->mean) * from->candidate->capacity,
                             (this->fillLevel(*to) - to->relativeLoad()) * to->candidate->capacity);
            const auto keys = excess > 0 ? this->selectKeys(*from, *to, excess) : std::nullopt;
            if (!keys) {
                from->exhausted = true;
                continue;
            }
            const double moved = this->loadOf(*keys);
            moves.push_back(Move{*keys, to->candidate->server});
            from->load -= moved;
            to->load += moved;
            this->remove(*from, *keys);
        }
        return moves;
    }

private:
    double loadOf(KeyRange keys) const
    {
        return this->sums[keys.last + 1] - this->sums[keys.first];
    }

    // A server without any keys is filled to the mean only: nothing requires more.
    double fillLevel(const Server &to) const
    {
        return this->mean * (to.load > 0 ? this->limits.fillLevel : 1);
    }

    bool isOverloaded(const Server &server) const
    {
        const double expected = this->mean * server.candidate->capacity;
        return this->total >= this->scaled.minRequests
                && server.relativeLoad() > this->limits.maxRelativeLoad * this->mean
                && server.load - expected
                > noiseStandardDeviations * std::sqrt(relativeVariance * expected);
    }

    Server *mostLoaded()
    {
        Server *worst = nullptr;
        for (Server &server : this->servers) {
            if (!server.exhausted
                && (worst == nullptr || server.relativeLoad() > worst->relativeLoad()))
                worst = &server;
        }
        return worst;
    }

    // The warm server with the most room. Fast servers come first, so that fewer moves are needed.
    Server *leastLoaded(const Server &excluded)
    {
        Server *best = nullptr;
        double mostRoom = 0;
        for (Server &server : this->servers) {
            if (&server == &excluded || server.candidate->cold)
                continue;
            if (server.load <= 0)
                return &server;
            const double room =
                    (this->fillLevel(server) - server.relativeLoad()) * server.candidate->capacity;
            if (best == nullptr || room > mostRoom) {
                best = &server;
                mostRoom = room;
            }
        }
        return best;
    }

    // The shortest run of keys that carries about `excess`; nothing if no run makes the more loaded
    // of the two servers less loaded.
    std::optional<KeyRange> selectKeys(const Server &from, const Server &to, double excess) const
    {
        const bool maySplit = this->rangeCount + 2 * this->splits < this->scaled.maxRanges;
        const double highest =
                std::min(excess * maxOvershoot,
                         (from.relativeLoad() - to.relativeLoad()) * to.candidate->capacity * 0.9);
        std::optional<KeyRange> best;
        double bestLoad = 0;
        const auto consider = [&](KeyRange keys) {
            const double load = this->loadOf(keys);
            if (load > highest || load < excess * minShareOfExcess)
                return;
            // The load that a move carries counts up to the excess, and the keys that it costs.
            const auto value = [&](double moved, Key size) {
                return std::min(moved, excess) / (keysPerMove + size);
            };
            if (!best || value(load, keys.size()) > value(bestLoad, best->size())) {
                best = keys;
                bestLoad = load;
            }
        };
        for (const KeyRange &range : from.ranges) {
            consider(range);
            if (maySplit && range.size() > 1 && this->loadOf(range) >= excess * minShareOfExcess)
                this->considerRuns(range, std::min(excess, this->loadOf(range) / 2), consider);
        }
        return best;
    }

    // Calls `consider` with the shortest run within `range` that carries at least `target`, and
    // with the same run without its last key, in case that one is too heavy.
    template<class Function>
    void considerRuns(KeyRange range, double target, Function &&consider) const
    {
        std::optional<KeyRange> shortest;
        Key first = range.first;
        for (Key last = range.first; last <= range.last; ++last) {
            while (first < last && this->loadOf({first + 1, last}) >= target)
                ++first;
            const KeyRange run{first, last};
            if (this->loadOf(run) >= target && (!shortest || run.size() < shortest->size()))
                shortest = run;
        }
        if (!shortest)
            return;
        consider(*shortest);
        if (shortest->size() > 1)
            consider({shortest->first, shortest->last - 1});
    }

    void remove(Server &from, KeyRange keys)
    {
        const auto found =
                std::find_if(from.ranges.begin(), from.ranges.end(),
                             [keys](KeyRange range) { return range.contains(keys.first); });
        const KeyRange whole = *found;
        from.ranges.erase(found);
        if (whole != keys)
            ++this->splits;
        if (whole.first < keys.first)
            from.ranges.push_back({whole.first, keys.first - 1});
        if (keys.last < whole.last)
            from.ranges.push_back({keys.last + 1, whole.last});
    }

    // Cost of a move in keys: a record, a release and a grant, and a range to be renewed.
    static constexpr Key keysPerMove = 10;

    const WorkPlacementLimits &limits;
    const PlacementLimits scaled;
    const std::size_t rangeCount;
    std::vector<double> sums; ///< Load of the keys below the index.
    double total = 0;         ///< Reported load.
    double mean = 0;          ///< Load per capacity.
    std::size_t splits = 0;   ///< Each adds up to two ranges.
    std::vector<Server> servers;
};

} // namespace

std::vector<Move> planWorkMoves(const std::vector<OwnedRange> &ownedRanges,
                                const std::vector<Candidate> &candidates, const KeyLoad &load,
                                const WorkPlacementLimits &limits)
{
    return candidates.empty() ? std::vector<Move>()
                              : Planner(ownedRanges, candidates, load, limits).plan();
}

} // namespace amaranthdale::keyspace
