// Servers that asked this instance to send nothing for a time.
#pragma once

#include "amaranthdale/core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::balance {

/// Pauses of servers, by name and incarnation. A pause outlives the server's absence from the list
/// of usable servers; another incarnation has none. Not thread-safe.
class ServerPauses
{
public:
    /// Sends nothing to this incarnation before `until`. An earlier end than that of a pause in
    /// force is ignored: its response may have been on the way for longer.
    void pause(const core::ServerName &server, std::uint64_t incarnation, core::TimePoint until,
               core::TimePoint now);

    /// The end of the server's pause, or `now` if there is none. Without `incarnation`, of the
    /// incarnation that was paused last.
    core::TimePoint end(const core::ServerName &server, std::optional<std::uint64_t> incarnation,
                        core::TimePoint now) const;

    /// Names of the servers that are paused.
    std::vector<core::ServerName> active(core::TimePoint now) const;

private:
    struct Pause
    {
        std::uint64_t incarnation = 0;
        core::TimePoint until{};
    };

    std::map<core::ServerName, Pause> pauses; // Ended ones are removed with the next `pause`.
};

} // namespace amaranthdale::balance
