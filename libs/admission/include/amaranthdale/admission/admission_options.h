// Settings of the admission to slot pools that are short of capacity.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstddef>
#include <map>
#include <string>

namespace amaranthdale::admission {

struct AdmissionOptions
{
    /// If false, pools keep strict priority and no shares.
    bool enabled = false;
    /// Relative share of a route's demand that is served in a shortage. A route that isn't listed
    /// gets `defaultShare` of its priority and target latency. Values are above 0.
    std::map<std::string, double> shares;
    /// Smallest share relative to the largest one. Together with `lateShareFactor` it stays above a
    /// quarter, below which no route may be served compared with all requests.
    double minRelativeShare = 0.4;
    /// Scales the share of a route whose waiting requests could all be answered only late.
    double lateShareFactor = 0.7;
    /// Half-life of the counts of requests asked for and granted.
    core::Duration countHalfLife = std::chrono::seconds(2);
    /// A pool stays short for this long after the last request that was not expected in time.
    core::Duration shortageHold = std::chrono::seconds(1);
    /// Share of a route's capacity that is promised to refused requests. A greater one has more
    /// newcomers refused once before they are served; with a smaller one, callers that come back
    /// early are served more often than others once demand is twice the capacity.
    double promisedShare = 0.5;
    /// Share of promised returns that newcomers leave room for.
    double expectedReturns = 0.7;
    /// Promises reach at most this far ahead.
    core::Duration promiseHorizon = std::chrono::seconds(4);
    std::size_t maxPromises = 256; ///< For each route and organisation of a pool.
};

/// Share of a route without a configured one: greater for a more urgent priority (0 is the most
/// urgent), and among equal priorities for a shorter target latency and timeout.
double defaultShare(unsigned priority, core::Duration targetLatency, core::Duration timeout);

} // namespace amaranthdale::admission
