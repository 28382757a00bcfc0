// Strikes and bans of request fingerprints.
#include "amaranthdale/decisions/crash_filter.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// Removes the entry with the earliest time when the table is full.
template<class Table, class TimeOf>
void evictEarliest(Table &table, std::size_t capacity, TimeOf timeOf)
{
    if (table.size() < capacity)
        return;
    const auto earliest =
            std::min_element(table.begin(), table.end(), [&](const auto &left, const auto &right) {
                return timeOf(left.second) < timeOf(right.second);
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
        this->addStrike(fingerprint, StrikeEntry{server, incarnation, now});
}

void CrashFilter::answered(std::uint64_t fingerprint)
{
    if (!this->strikesByFingerprint.empty())
        this->strikesByFingerprint.erase(fingerprint);
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
    for (const auto &[fingerprint, entry] : this->strikesByFingerprint)
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
    if (strike.age < banDuration)
        this->addStrike(strike.fingerprint,
                        StrikeEntry{strike.server, strike.incarnation, now - strike.age});
}

void CrashFilter::mergeBan(const Ban &ban, core::TimePoint now)
{
    if (ban.remaining > core::Duration())
        this->addBan(ban.fingerprint, now + std::min(ban.remaining, banDuration));
}

void CrashFilter::expire(core::TimePoint now)
{
    std::erase_if(this->strikesByFingerprint,
                  [&](const auto &item) { return item.second.at + banDuration <= now; });
    std::erase_if(this->bannedUntil, [&](const auto &item) { return item.second <= now; });
}

void CrashFilter::addStrike(std::uint64_t fingerprint, StrikeEntry entry)
{
    const auto found = this->strikesByFingerprint.find(fingerprint);
    if (found == this->strikesByFingerprint.end()) {
        evictEarliest(this->strikesByFingerprint, this->capacity,
                      [](const StrikeEntry &item) { return item.at; });
        this->strikesByFingerprint.emplace(fingerprint, std::move(entry));
        return;
    }
    const bool sameIncarnation =
            found->second.server == entry.server && found->second.incarnation == entry.incarnation;
    const core::Duration timeBetween =
            entry.at > found->second.at ? entry.at - found->second.at : found->second.at - entry.at;
    if (!sameIncarnation && timeBetween < banDuration) {
        this->addBan(fingerprint, std::max(entry.at, found->second.at) + banDuration);
        return;
    }
    if (entry.at > found->second.at)
        found->second = std::move(entry);
}

void CrashFilter::addBan(std::uint64_t fingerprint, core::TimePoint until)
{
    if (!this->bannedUntil.contains(fingerprint))
        evictEarliest(this->bannedUntil, this->capacity, [](core::TimePoint item) { return item; });
    core::TimePoint &currentEnd = this->bannedUntil[fingerprint];
    currentEnd = std::max(currentEnd, until);
}

} // namespace amaranthdale::decisions
