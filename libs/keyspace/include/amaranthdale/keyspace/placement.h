// Load-aware placement of key ranges on backend servers.
#pragma once

#include "amaranthdale/keyspace/assignment.h"
#include "amaranthdale/keyspace/key_load.h"

#include <vector>

namespace amaranthdale::keyspace {

/// A backend server that may own keys.
struct Candidate
{
    ServerIncarnation server;
    double capacity = 1; ///< Relative to other servers of the service; must be positive.
    bool cold = false;   ///< Gets keys only if there is no warm server.
};

/// A range to transfer to another server.
struct Move
{
    KeyRange keys;
    ServerIncarnation to;

    bool operator==(const Move &) const = default;
};

/// Limits for rebalancing. The limits on the numbers of ranges and moves are the larger of an
/// absolute number and a multiple of the number of servers.
struct PlacementLimits
{
    unsigned initialRanges = 64; ///< Interleaved across servers, as hot keys are often adjacent.
    double initialRangesPerServer = 1; ///< A server without a range gets no requests.
    unsigned maxRanges = 160;          ///< Each range costs the granter one renewal per second.
    double maxRangesPerServer = 2.5;
    unsigned maxMoves = 8; ///< Per round. A range is unavailable for about 100 ms while it moves.
    double maxMovesPerServer = 0.25;
    double maxRelativeLoad = 1.3; ///< Load relative to the mean above which ranges are moved.
    double minRequests = 60;      ///< With fewer recent requests, differences are noise.

    /// Returns the limits with the per-server values applied for this number of servers.
    PlacementLimits scaledTo(std::size_t servers) const;
};

/// Creates the initial assignment: ranges of equal size, interleaved across the servers in
/// proportion to their capacity.
std::vector<OwnedRange> makeInitialPlacement(const std::vector<Candidate> &candidates,
                                             const PlacementLimits &limits);

/// Returns an owner for each of `ranges`, in the same order. The owners are empty if there are no
/// candidates.
std::vector<ServerIncarnation> chooseOwners(const std::vector<KeyRange> &ranges,
                                            const std::vector<OwnedRange> &ownedRanges,
                                            const std::vector<Candidate> &candidates,
                                            const KeyLoad &load);

/// Returns the moves that balance the load of the candidates. A move may split a range.
std::vector<Move> planMoves(const std::vector<OwnedRange> &ownedRanges,
                            const std::vector<Candidate> &candidates, const KeyLoad &load,
                            const PlacementLimits &limits);

} // namespace amaranthdale::keyspace
