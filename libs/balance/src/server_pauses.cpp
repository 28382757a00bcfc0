// Pauses of servers.
#include "amaranthdale/balance/server_pauses.h"

#include <algorithm>

namespace amaranthdale::balance {

void ServerPauses::pause(const core::ServerName &server, std::uint64_t incarnation,
                         core::TimePoint until, core::TimePoint now)
{
    std::erase_if(this->pauses, [now](const auto &entry) { return entry.second.until <= now; });
    Pause &pause = this->pauses[server];
    if (pause.incarnation != incarnation)
        pause = Pause{incarnation, until};
    pause.until = std::max(pause.until, until);
}

core::TimePoint ServerPauses::end(const core::ServerName &server,
                                  std::optional<std::uint64_t> incarnation,
                                  core::TimePoint now) const
{
    const auto found = this->pauses.find(server);
    if (found == this->pauses.end())
        return now;
    if (incarnation && found->second.incarnation != *incarnation)
        return now;
    return std::max(now, found->second.until);
}

std::vector<core::ServerName> ServerPauses::active(core::TimePoint now) const
{
    std::vector<core::ServerName> names;
    for (const auto &[name, pause] : this->pauses) {
        if (now < pause.until)
            names.push_back(name);
    }
    return names;
}

} // namespace amaranthdale::balance
