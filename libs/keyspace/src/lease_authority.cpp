// How long this instance may send grants, which leases, and what its record says about it.
#include "amaranthdale/keyspace/lease_manager.h"

#include <algorithm>

namespace amaranthdale::keyspace {

bool LeaseManager::mayGrant(core::TimePoint now) const
{
    return this->hasAuthority(now)
            && (!this->newestRecord->ownersUncertain || this->earlierLeasesEnded(now));
}

bool LeaseManager::hasAuthority(core::TimePoint now) const
{
    return this->isGranter() && this->end >= this->grantFloor
            && now + this->suspended < this->authorityEnd()
            && this->lastLogReadStart >= this->fencedNoticeAt;
}

// An append with unknown outcome may have taken effect, and successors then go by its terms.
std::vector<const std::optional<AuthorityTerms> *> LeaseManager::applicableTerms() const
{
    std::vector<const std::optional<AuthorityTerms> *> terms{&this->newestRecord->terms};
    if (this->pendingAppend)
        terms.push_back(&this->pendingAppend->assignment.terms);
    return terms;
}

core::TimePoint LeaseManager::confirmedUntil(const AuthorityTerms &terms) const
{
    const auto start = this->confirmations.majorityStart(terms.witnesses);
    if (!start)
        return {};
    const double drift = this->options.maxClockDrift;
    return std::min(*start + lessDrift(terms.confirmation, drift),
                    this->authorityReadStart + lessDrift(terms.longestAuthority, drift));
}

core::TimePoint LeaseManager::authorityEnd() const
{
    core::TimePoint earliest = core::TimePoint::max();
    for (const auto *terms : this->applicableTerms()) {
        core::TimePoint until = this->authorityReadStart + this->options.authorityDuration;
        if (*terms)
            until = std::max(
                    this->authorityReadStart
                            + lessDrift((*terms)->readAuthority, this->options.maxClockDrift),
                    this->confirmedUntil(**terms));
        earliest = std::min(earliest, until);
    }
    return earliest;
}

bool LeaseManager::maySendOutageLease(core::TimePoint now) const
{
    const auto terms = this->applicableTerms();
    const core::TimePoint authorityTime = now + this->suspended;
    return std::all_of(terms.begin(), terms.end(), [this, authorityTime](const auto *applicable) {
        return !*applicable || authorityTime < this->confirmedUntil(**applicable);
    });
}

std::vector<ConfirmationRequest> LeaseManager::dueConfirmations(core::TimePoint now)
{
    std::vector<ConfirmationRequest> requests;
    if (!this->isGranter() || now < this->nextConfirmation
        || now + this->suspended < this->authorityReadStart + this->options.confirmationDelay)
        return requests;
    this->nextConfirmation = now + this->options.confirmationInterval;
    for (const auto *terms : this->applicableTerms()) {
        if (!*terms)
            continue;
        for (const Witness &witness : (*terms)->witnesses) {
            const bool listed =
                    std::any_of(requests.begin(), requests.end(), [&witness](const auto &request) {
                        return request.witness == witness;
                    });
            if (!listed)
                requests.push_back(
                        ConfirmationRequest{witness, this->self, this->end, now + this->suspended});
        }
    }
    return requests;
}

void LeaseManager::onConfirmed(const ConfirmationRequest &request)
{
    // A confirmation from before the own takeover says nothing about this term.
    if (this->isGranter() && request.granterEnd >= this->firstEnd)
        this->confirmations.add(request.witness.instance, request.start);
}

std::vector<AgreementRequest> LeaseManager::awaitedAgreements(core::TimePoint now) const
{
    std::vector<AgreementRequest> requests;
    if (!this->isGranter() || this->newestRecord->settled || this->earlierSettled(now))
        return requests;
    for (const Witness &witness : this->earlierGranters.awaitedWitnesses())
        requests.push_back(AgreementRequest{witness, this->end});
    return requests;
}

void LeaseManager::onAgreement(const AgreementRequest &request, const WitnessAgreement &agreement,
                               core::TimePoint now)
{
    // An agreement of an earlier term does not cover the granters since.
    if (this->isGranter() && request.successorEnd >= this->firstEnd)
        this->earlierGranters.onAgreement(request.witness, agreement, now);
}

bool LeaseManager::earlierMayGrant(core::TimePoint now) const
{
    return this->earlierPossible && now < this->earlierGranters.authorityEnd();
}

bool LeaseManager::earlierLeasesEnded(core::TimePoint now) const
{
    if (!this->earlierPossible)
        return true;
    const auto limits = this->earlierGranters.sendLimits();
    return now >= this->reportedLeaseEnd
            && std::all_of(limits.begin(), limits.end(), [this, now](const SendLimit &limit) {
                   return now >= this->leaseEndAfter(limit.lastSent, limit.lease);
               });
}

// Successors of a granter without terms assume the longest leases anyway.
bool LeaseManager::earlierSettled(core::TimePoint now) const
{
    return now >= this->earlierGranters.authorityEnd()
            && (!this->newestRecord->terms || this->earlierLeasesEnded(now));
}

void LeaseManager::setWitnesses(std::vector<Witness> proposed)
{
    this->proposedWitnesses = std::move(proposed);
}

bool LeaseManager::isConfirmed(core::TimePoint now) const
{
    return this->isGranter() && this->newestRecord->terms
            && now + this->suspended < this->confirmedUntil(*this->newestRecord->terms);
}

std::vector<Witness> LeaseManager::witnessesForTakeover() const
{
    const auto &replaced = this->newestRecord->terms;
    if (!this->proposedWitnesses.empty() || this->options.witnessCount == 0 || !replaced)
        return this->proposedWitnesses;
    const bool named = std::any_of(
            replaced->witnesses.begin(), replaced->witnesses.end(),
            [this](const Witness &witness) { return witness.instance.name == this->self.name; });
    return named ? std::vector<Witness>() : replaced->witnesses;
}

std::optional<AuthorityTerms> LeaseManager::termsWith(std::vector<Witness> witnesses) const
{
    if (witnesses.empty())
        return std::nullopt;
    return AuthorityTerms{this->options.readAuthority,       this->options.confirmationDuration,
                          this->options.longestAuthority,    this->options.leaseDuration,
                          this->options.outageLeaseDuration, std::move(witnesses)};
}

std::optional<AuthorityTerms> LeaseManager::nextTerms(core::TimePoint now) const
{
    const bool mayChange = now >= this->nextWitnessChange && now >= this->outageLeaseEnd
            && this->earlierLeasesEnded(now);
    // Missing proposals don't end the use of witnesses, or each lost one would.
    if (!mayChange || this->proposedWitnesses.empty())
        return this->newestRecord->terms;
    return this->termsWith(this->proposedWitnesses);
}

void LeaseManager::appendTerms(core::TimePoint now, std::vector<Command> &commands)
{
    const bool unresponsive = now - this->lastLogResponse > this->options.confirmationDelay;
    if (unresponsive)
        return;
    Assignment next = *this->newestRecord;
    next.terms = this->nextTerms(now);
    if (next.terms == this->newestRecord->terms)
        return;
    this->nextWitnessChange = now + this->options.witnessChangeInterval;
    next.ownedRanges = this->ownedRanges();
    this->startAppend(std::move(next), commands);
}

} // namespace amaranthdale::keyspace
