// Load balancing of requests that any server of a service may answer.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/random_source.h"

#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// An entry instance's view of one backend server.
struct ServerView
{
    core::ServerName name;
    bool drained = false; ///< Its data centre is out of service.
    bool leaving = false;
    bool controllerKnown = false; ///< A live controller is known and reachable.

    // From the newest response of the server's controller.
    unsigned inFlight = 0;
    unsigned limit = 1;
    unsigned queued = 0;
    core::TimePoint observedAt;

    unsigned sentSince = 0;  ///< Sent by this instance since `observedAt` and not yet answered.
    double reportedLoad = 0; ///< Load reported by the server; 1 is full.
};

class ServerSelector
{
public:
    virtual ~ServerSelector() = default;

    /// Index in `servers` of the server to use, or nothing when none is eligible. `alreadyTried` is
    /// a server that was already tried; it is chosen only when no other is eligible.
    virtual std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                              const core::ServerName &alreadyTried,
                                              core::TimePoint now, RandomSource &random) const = 0;
};

/// Power of two choices: the less loaded of two random servers, by observed load.
class TwoChoices : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                      const core::ServerName &alreadyTried, core::TimePoint now,
                                      RandomSource &random) const override;
};

/// Server with the lowest reported load. Baseline for measurements: all entry instances act on the
/// same outdated reports.
class LeastReportedLoad : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                      const core::ServerName &alreadyTried, core::TimePoint now,
                                      RandomSource &random) const override;
};

/// Whether `server` may get new requests.
bool isEligible(const ServerView &server);

/// Load estimate of `TwoChoices`: (in flight + queued + sent since) / limit. As the view ages, in
/// flight and queued are replaced by a medium load, since an old view shows neither a high nor a
/// low load reliably.
double observedLoad(const ServerView &server, core::TimePoint now);

} // namespace amaranthdale::decisions
