// Strikes and bans of request fingerprints.
#include "amaranthdale/decisions/crash_filter.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Makes room for one more entry by removing the one with the earliest time.
template<class Table, class TimeOf>
void makeRoom(Table &table, std::size_t capacity, TimeOf timeOf)
{
    if (table.size() < capacity)
        return;
    const auto earliest =
            std::min_element(table.begin(), table.end(), [&](const auto &one, const auto &other) {
                return timeOf(one.second) < timeOf(other.second);
            });
    table.erase(earliest);
}

} // namespace

CrashFilter::CrashFilter(std::size_t maxFingerprints) : capacity(maxFingerprints) { }

void CrashFilter::crashed(const std::vector<std::uint64_t> &fingerprints,
                          const core::ServerName &server, core::Incarnation incarnation,
                          core::TimePoint now)
{
    for (std::uint64_t fingerprint : fingerprints)
        this->strike(fingerprint, StrikeEntry{server, incarnation, now});
}

void CrashFilter::answered(std::uint64_t fingerprint)
{
    if (!this->struck.empty())
        this->struck.erase(fingerprint);
}

std::optional<core::Duration> CrashFilter::banned(std::uint64_t fingerprint,
                                                  core::TimePoint now) const
{
    if (this->bannedUntil.empty())
        return std::nullopt;
    const auto found = this->bannedUntil.find(fingerprint);
    if (found == this->bannedUntil.end() || found->second <= now)
        return std::nullopt;
    return found->second - now;
}

std::vector<Strike> CrashFilter::strikes(core::TimePoint now) const
{
    std::vector<Strike> result;
    for (const auto &[fingerprint, entry] : this->struck)
        result.push_back(Strike{fingerprint, entry.server, entry.incarnation, now - entry.at});
    return result;
}

std::vector<Ban> CrashFilter::bans(core::TimePoint now) const
{
    std::vector<Ban> result;
    for (const auto &[fingerprint, until] : this->bannedUntil) {
        if (until > now)
            result.push_back(Ban{fingerprint, until - now});
    }
    return result;
}

void CrashFilter::mergeStrike(const Strike &strike, core::TimePoint now)
{
    if (strike.age < banTime)
        this->strike(strike.fingerprint,
                     StrikeEntry{strike.server, strike.incarnation, now - strike.age});
}

void CrashFilter::mergeBan(const Ban &ban, core::TimePoint now)
{
    if (ban.remaining > core::Duration())
        this->ban(ban.fingerprint, now + std::min(ban.remaining, banTime));
}

void CrashFilter::expire(core::TimePoint now)
{
    std::erase_if(this->struck, [&](const auto &item) { return item.second.at + banTime <= now; });
    std::erase_if(this->bannedUntil, [&](const auto &item) { return item.second <= now; });
}

void CrashFilter::strike(std::uint64_t fingerprint, StrikeEntry entry)
{
    const auto found = this->struck.find(fingerprint);
    if (found == this->struck.end()) {
        makeRoom(this->struck, this->capacity, [](const StrikeEntry &item) { return item.at; });
        this->struck.emplace(fingerprint, std::move(entry));
        return;
    }
    const bool sameRun =
            found->second.server == entry.server && found->second.incarnation == entry.incarnation;
    const core::Duration apart =
            entry.at > found->second.at ? entry.at - found->second.at : found->second.at - entry.at;
    if (!sameRun && apart < banTime) {
        this->ban(fingerprint, std::max(entry.at, found->second.at) + banTime);
        return;
    }
    if (entry.at > found->second.at)
        found->second = std::move(entry);
}

void CrashFilter::ban(std::uint64_t fingerprint, core::TimePoint until)
{
    if (!this->bannedUntil.contains(fingerprint))
        makeRoom(this->bannedUntil, this->capacity, [](core::TimePoint item) { return item; });
    core::TimePoint &present = this->bannedUntil[fingerprint];
    present = std::max(present, until);
}

} // namespace amaranthdale::decisions
