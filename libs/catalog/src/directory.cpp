// Tracks announced servers, delayed removals and drained data centres.
#include "amaranthdale/catalog/directory.h"

#include <algorithm>

namespace amaranthdale::catalog {

DirectoryChange Directory::announce(BackendServer server, core::TimePoint now)
{
    if (this->isOutdated(server, now))
        return DirectoryChange::Outdated;
    if (this->isDelayedIncarnation(server, now))
        return DirectoryChange::None;
    this->olderIncarnations.erase(this->olderIncarnations.lower_bound({server.name, 0}),
                                  this->olderIncarnations.upper_bound({server.name, UINT64_MAX}));
    this->delayedRemovals.erase(server.name);
    this->rememberNewest(server, now);
    server.leaving = this->hasMark(server.name, server.incarnation);
    const auto found = this->servers.find(server.name);
    if (found == this->servers.end()) {
        this->servers.emplace(server.name, std::move(server));
        return DirectoryChange::Added;
    }
    BackendServer &known = found->second;
    const bool restarted = known.incarnation != server.incarnation;
    if (known == server)
        return DirectoryChange::None;
    known = std::move(server);
    return restarted ? DirectoryChange::Restarted : DirectoryChange::Updated;
}

bool Directory::isOutdated(const BackendServer &server, core::TimePoint now) const
{
    const auto newest = this->newestEntries.find(server.name);
    return newest != this->newestEntries.end() && newest->second.incarnation == server.incarnation
            && newest->second.sequence && server.sequence
            && *server.sequence < *newest->second.sequence
            && now < newest->second.readAt + maxWriteDelay;
}

// An entry of an earlier incarnation is either a delayed one, or that of a new run whose host had
// its wall clock set back. Only the latter writes again, and goes on after all writes of the
// earlier run must have been executed.
bool Directory::isDelayedIncarnation(const BackendServer &server, core::TimePoint now)
{
    const auto newest = this->newestEntries.find(server.name);
    if (newest == this->newestEntries.end() || newest->second.incarnation <= server.incarnation)
        return false;
    if (this->olderIncarnations.size() >= maxOlderIncarnations)
        this->olderIncarnations.clear();
    const auto [earlier, inserted] =
            this->olderIncarnations.try_emplace({server.name, server.incarnation}, server.sequence);
    if (inserted)
        return true;
    if (!earlier->second || !server.sequence)
        return false;
    return *server.sequence <= *earlier->second || now < newest->second.readAt + maxWriteDelay;
}

void Directory::rememberNewest(const BackendServer &server, core::TimePoint now)
{
    this->newestEntries.insert_or_assign(server.name,
                                         NewestEntry{server.incarnation, server.sequence, now});
    if (this->newestEntries.size() <= this->servers.size() + maxRemovedServers)
        return;
    auto oldest = this->newestEntries.end();
    for (auto entry = this->newestEntries.begin(); entry != this->newestEntries.end(); ++entry) {
        const bool known = this->servers.contains(entry->first) || entry->first == server.name;
        if (!known
            && (oldest == this->newestEntries.end()
                || entry->second.readAt < oldest->second.readAt))
            oldest = entry;
    }
    if (oldest != this->newestEntries.end())
        this->newestEntries.erase(oldest);
}

DirectoryChange Directory::remove(const core::ServerName &name, core::TimePoint now)
{
    const auto found = this->servers.find(name);
    if (found == this->servers.end())
        return DirectoryChange::None;
    if (now < this->graceEnd && !found->second.draining) {
        this->delayedRemovals.try_emplace(name, std::min(this->graceEnd, now + removalDelay));
        return DirectoryChange::None;
    }
    this->delayedRemovals.erase(name);
    this->servers.erase(found);
    return DirectoryChange::Removed;
}

void Directory::retain(const std::set<core::ServerName> &names, core::TimePoint now)
{
    std::vector<core::ServerName> missing;
    for (const auto &[name, server] : this->servers) {
        if (!names.contains(name))
            missing.push_back(name);
    }
    for (const core::ServerName &name : missing)
        this->remove(name, now);
}

bool Directory::markLeaving(const core::ServerName &name, std::uint64_t incarnation,
                            core::TimePoint now)
{
    const auto found = this->servers.find(name);
    if (found == this->servers.end() || found->second.incarnation != incarnation
        || found->second.leaving)
        return false;
    if (this->leavingMarks.size() >= maxLeavingMarks)
        this->dropOldestMark();
    this->leavingMarks.insert_or_assign(name, LeavingMark{incarnation, now});
    found->second.leaving = true;
    return true;
}

void Directory::dropOldestMark()
{
    const auto oldest = std::min_element(
            this->leavingMarks.begin(), this->leavingMarks.end(),
            [](const auto &a, const auto &b) { return a.second.since < b.second.since; });
    if (oldest != this->leavingMarks.end())
        this->leavingMarks.erase(oldest);
}

bool Directory::hasMark(const core::ServerName &name, std::uint64_t incarnation) const
{
    const auto mark = this->leavingMarks.find(name);
    return mark != this->leavingMarks.end() && mark->second.incarnation == incarnation;
}

std::optional<core::TimePoint> Directory::leavingSince(const core::ServerName &name) const
{
    const BackendServer *server = this->find(name);
    if (server == nullptr || !this->hasMark(name, server->incarnation))
        return std::nullopt;
    return this->leavingMarks.at(name).since;
}

void Directory::outageEnded(core::TimePoint now, core::TimePoint lastFailedRead)
{
    this->graceEnd = std::min(now + reregistrationGrace, lastFailedRead + maxGraceAfterFailure);
}

std::vector<core::ServerName> Directory::expire(core::TimePoint now)
{
    std::vector<core::ServerName> removed;
    for (auto entry = this->delayedRemovals.begin(); entry != this->delayedRemovals.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        this->servers.erase(entry->first);
        removed.push_back(entry->first);
        entry = this->delayedRemovals.erase(entry);
    }
    return removed;
}

core::TimePoint Directory::nextExpiry() const
{
    core::TimePoint next = core::TimePoint::max();
    for (const auto &[name, removalTime] : this->delayedRemovals)
        next = std::min(next, removalTime);
    return next;
}

void Directory::setDrained(std::set<core::DataCentreName> names, core::TimePoint now,
                           core::Duration warmup)
{
    for (auto &[name, server] : this->servers) {
        if (this->drained.contains(server.dataCentre) && !names.contains(server.dataCentre))
            server.coldUntil = std::max(server.coldUntil, now + warmup);
    }
    this->drained = std::move(names);
}

BackendServers Directory::usable(const core::ServiceName &service) const
{
    BackendServers found = this->usableOrLeaving(service);
    std::erase_if(found, [](const BackendServer &server) { return server.leaving; });
    return found;
}

BackendServers Directory::usableOrLeaving(const core::ServiceName &service) const
{
    BackendServers found;
    for (const auto &[name, server] : this->servers) {
        if (server.service == service && !server.draining && !this->isDrained(server.dataCentre))
            found.push_back(server);
    }
    return found;
}

BackendServers Directory::all(const core::ServiceName &service) const
{
    BackendServers found;
    for (const auto &[name, server] : this->servers) {
        if (server.service == service)
            found.push_back(server);
    }
    return found;
}

const BackendServer *Directory::find(const core::ServerName &name) const
{
    const auto found = this->servers.find(name);
    return found == this->servers.end() ? nullptr : &found->second;
}

bool Directory::isUsable(const core::ServerName &name, std::uint64_t incarnation) const
{
    const BackendServer *server = this->find(name);
    return server != nullptr && server->incarnation == incarnation && !server->draining
            && !server->leaving && !this->isDrained(server->dataCentre);
}

} // namespace amaranthdale::catalog
