// Decides which ranges of keys should move to which backend servers.
#pragma once

#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/key_load.h"

#include <vector>

namespace amaranthdale::keyspace {

/// A backend server that may own keys.
struct Candidate
{
    ServerRun run;
    double capacity = 1; ///< Relative to other servers of the service; above 0.
    bool cold = false;   ///< Gets keys only where no warm server exists.
};

/// A change of owner that is worth making.
struct Move
{
    KeyRange keys;
    ServerRun to;

    bool operator==(const Move &) const = default;
};

/// Bounds of a rebalance. Each bound in ranges is the larger of a number and a multiple of the
/// servers.
struct PlacementLimits
{
    unsigned initialRanges = 64; ///< Stripes of the first assignment; busy keys lie close together.
    double initialPerServer = 1; ///< Servers without a range would get no requests.
    unsigned mostRanges = 160;   ///< Each range costs the granter one renewal each second.
    double mostPerServer = 2.5;
    unsigned mostMoves = 8; ///< A range is unavailable for some 100 ms while it moves.
    double movesPerServer = 0.25;
    double tolerance = 1.3;    ///< Load of a server relative to the mean at which ranges move.
    double leastRequests = 60; ///< Fewer recent requests are noise.

    /// The same bounds for a service of so many servers.
    PlacementLimits scaledTo(std::size_t servers) const;
};

/// A first assignment: equal ranges, dealt in turn, more to servers of higher capacity.
std::vector<Holding> placeInitially(const std::vector<Candidate> &candidates,
                                    const PlacementLimits &limits);

/// A new owner for each of `vacant`, in order; empty where there is no candidate.
std::vector<ServerRun> placeVacant(const std::vector<KeyRange> &vacant,
                                   const std::vector<Holding> &holdings,
                                   const std::vector<Candidate> &candidates, const KeyLoad &load);

/// Moves that even out the load of the candidates. A move may name part of a range.
std::vector<Move> planMoves(const std::vector<Holding> &holdings,
                            const std::vector<Candidate> &candidates, const KeyLoad &load,
                            const PlacementLimits &limits);

} // namespace amaranthdale::keyspace
