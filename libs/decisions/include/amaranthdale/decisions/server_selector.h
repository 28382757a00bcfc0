// Choice of a backend server for requests that any server of the service may answer.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/random_source.h"

#include <optional>
#include <vector>

namespace amaranthdale::decisions {

/// What an entry instance knows of one backend server.
struct ServerView
{
    core::ServerName name;
    bool drained = false; ///< Its data centre is out of service.
    bool leaving = false;
    bool controllerKnown = false; ///< A live controller is known and reachable.

    // From the newest response of the controller.
    unsigned inFlight = 0;
    unsigned limit = 1;
    unsigned queued = 0;
    core::TimePoint observedAt;

    unsigned sentSince = 0;  ///< Sent by this instance since `observedAt` and not yet answered.
    double reportedLoad = 0; ///< As the server itself reports it; 1 is full.
};

/// Chooses a server.
class ServerSelector
{
public:
    virtual ~ServerSelector() = default;

    /// Index in `servers` of the server to use, or nothing when none may get work. `except` is a
    /// server that was already tried; it is chosen only when no other may get work.
    virtual std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                              const core::ServerName &except, core::TimePoint now,
                                              RandomSource &random) const = 0;
};

/// Less loaded of two random servers by observed load.
class TwoChoices : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                      const core::ServerName &except, core::TimePoint now,
                                      RandomSource &random) const override;
};

/// Least loaded server by its own report. Baseline for measurements: all entry instances follow the
/// same late reports.
class LeastReportedLoad : public ServerSelector
{
public:
    std::optional<std::size_t> choose(const std::vector<ServerView> &servers,
                                      const core::ServerName &except, core::TimePoint now,
                                      RandomSource &random) const override;
};

/// Whether `server` may get new work.
bool isEligible(const ServerView &server);

/// Load of `server` as `TwoChoices` sees it: (in flight + queued + sent since) / limit, drawn
/// towards the middle as the view ages, since an old view says little in either direction.
double observedLoad(const ServerView &server, core::TimePoint now);

} // namespace amaranthdale::decisions
