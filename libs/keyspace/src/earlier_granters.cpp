// Granters whose authority or leases may not have ended yet.
#include "amaranthdale/keyspace/earlier_granters.h"

#include <algorithm>

namespace amaranthdale::keyspace {

namespace {

// Bounds the record and the requests for each change of granter. More changes than that within the
// time of one authority mean that most of them are gone, so that asking them is no use.
constexpr std::size_t maxEarlierGranters = 12;

// Stands for granters that are too many to list: a granter that answers nobody, with the longest
// limits of all. Without terms an empty list says the same.
std::vector<Predecessor> combine(const std::vector<Predecessor> &granters)
{
    AuthorityTerms longest;
    bool withTerms = false;
    for (const Predecessor &granter : granters) {
        if (!granter.terms)
            continue;
        withTerms = true;
        longest.longestAuthority = std::max(longest.longestAuthority, //
                                            granter.terms->longestAuthority);
        longest.confirmedLease = std::max(
                {longest.confirmedLease, granter.terms->lease, granter.terms->confirmedLease});
    }
    if (!withTerms)
        return {};
    longest.readAuthority = longest.longestAuthority;
    longest.lease = longest.confirmedLease;
    // The second entry is for those without terms.
    return {Predecessor{{}, "", longest}, Predecessor{{}, "", std::nullopt}};
}

} // namespace

std::vector<Predecessor> earlierGrantersAfter(const Assignment &replaced)
{
    const bool unknown = !replaced.settled && replaced.earlierGranters.empty();
    if (unknown && !replaced.terms)
        return {};
    std::vector<Predecessor> result;
    if (!replaced.settled)
        result = replaced.earlierGranters;
    if (unknown)
        result.push_back(Predecessor{{}, "", std::nullopt});
    const Predecessor last{replaced.granter, replaced.granterPeer, replaced.terms};
    // An earlier term of the same granter had other witnesses, which may have confirmed long
    // leases.
    std::erase_if(result, [&last](const Predecessor &earlier) {
        return earlier.instance == last.instance && earlier.terms == last.terms;
    });
    result.push_back(last);
    if (result.size() > maxEarlierGranters)
        result = combine(result);
    return result;
}

void EarlierGranters::begin(const Assignment &record, const DefaultAuthority &rule,
                            core::TimePoint now)
{
    this->pending.clear();
    for (const Predecessor &granter : record.earlierGranters)
        this->pending.push_back(Pending{granter, std::nullopt, {}});
    this->known = !record.earlierGranters.empty();
    this->defaults = rule;
    this->begun = now;
    this->reportedAt = now + rule.authority;
}

bool EarlierGranters::onEnded(const core::InstanceId &granter, bool leasesKnown,
                              core::TimePoint now)
{
    bool found = false;
    for (Pending &earlier : this->pending) {
        if (earlier.granter.instance != granter || earlier.endedAt)
            continue;
        found = true;
        earlier.endedAt = now;
    }
    // The leases of a granter without terms are assumed by the caller.
    std::erase_if(this->pending, [&granter, leasesKnown](const Pending &earlier) {
        return earlier.granter.instance == granter && (leasesKnown || !earlier.granter.terms);
    });
    if (found && this->pending.empty())
        this->reportedAt = std::min(this->reportedAt, now);
    return found;
}

void EarlierGranters::onAgreement(const Witness &witness, const WitnessAgreement &agreement,
                                  core::TimePoint now)
{
    std::optional<core::TimePoint> lastConfirmed;
    // Both clocks may differ from real time.
    if (agreement.sinceConfirmation)
        lastConfirmed =
                now - lessDrift(*agreement.sinceConfirmation, 2 * this->defaults.maxClockDrift);
    for (Pending &earlier : this->pending) {
        if (!earlier.granter.terms)
            continue;
        const auto &witnesses = earlier.granter.terms->witnesses;
        const bool named =
                std::find(witnesses.begin(), witnesses.end(), witness) != witnesses.end();
        const bool agreed = std::any_of(
                earlier.agreements.begin(), earlier.agreements.end(),
                [&witness](const Agreement &given) { return given.witness == witness; });
        if (named && !agreed)
            earlier.agreements.push_back(Agreement{witness, lastConfirmed});
    }
}

std::vector<Predecessor> EarlierGranters::awaited() const
{
    std::vector<Predecessor> result;
    for (const Pending &earlier : this->pending) {
        const bool listed =
                std::any_of(result.begin(), result.end(), [&](const Predecessor &other) {
                    return other.instance == earlier.granter.instance;
                });
        // Granters that stand for those that are too many to list have no name.
        if (!earlier.endedAt && !listed && !earlier.granter.instance.name.value.empty())
            result.push_back(earlier.granter);
    }
    return result;
}

std::vector<Witness> EarlierGranters::awaitedWitnesses() const
{
    std::vector<Witness> result;
    for (const Pending &earlier : this->pending) {
        if (!earlier.granter.terms)
            continue;
        for (const Witness &witness : earlier.granter.terms->witnesses) {
            const bool agreed = std::any_of(
                    earlier.agreements.begin(), earlier.agreements.end(),
                    [&witness](const Agreement &given) { return given.witness == witness; });
            if (!agreed && std::find(result.begin(), result.end(), witness) == result.end())
                result.push_back(witness);
        }
    }
    return result;
}

std::vector<SendLimit> EarlierGranters::limitsOf(const Pending &granter) const
{
    const core::TimePoint latest = granter.endedAt.value_or(core::TimePoint::max());
    const auto &terms = granter.granter.terms;
    if (!terms)
        return {{std::min(latest, this->begun + this->defaults.authority), this->defaults.lease}};
    const double drift = this->defaults.maxClockDrift;
    std::vector<SendLimit> limits{
            {std::min(latest, this->begun + plusDrift(terms->readAuthority, drift)), terms->lease}};
    core::TimePoint confirmedUntil = this->begun + plusDrift(terms->longestAuthority, drift);
    const std::size_t majority = majorityOf(terms->witnesses);
    if (!terms->witnesses.empty() && granter.agreements.size() >= majority) {
        std::vector<std::optional<core::TimePoint>> confirmed;
        for (const Agreement &agreement : granter.agreements)
            confirmed.push_back(agreement.lastConfirmed);
        // Any majority proves the end; the one with the earliest confirmations is used.
        std::sort(confirmed.begin(), confirmed.end());
        const auto &last = confirmed[majority - 1];
        if (!last)
            return limits;
        confirmedUntil = std::min(confirmedUntil, *last + plusDrift(terms->confirmation, drift));
    }
    limits.push_back({std::min(latest, confirmedUntil), terms->confirmedLease});
    return limits;
}

std::vector<SendLimit> EarlierGranters::sendLimits() const
{
    std::vector<SendLimit> limits;
    if (!this->known)
        limits.push_back({this->reportedAt, this->defaults.lease});
    for (const Pending &earlier : this->pending) {
        const auto own = this->limitsOf(earlier);
        limits.insert(limits.end(), own.begin(), own.end());
    }
    return limits;
}

core::TimePoint EarlierGranters::authorityEnd() const
{
    if (this->known && this->pending.empty())
        return this->reportedAt;
    core::TimePoint end = this->known ? core::TimePoint() : this->reportedAt;
    for (const SendLimit &limit : this->sendLimits())
        end = std::max(end, limit.lastSent);
    return end;
}

} // namespace amaranthdale::keyspace
