// The part of key control that deals with witnesses: as a granter, a successor and a witness.
#include "amaranthdale/control/key_control.h"

namespace amaranthdale::control {

namespace {

constexpr auto selectionInterval = std::chrono::seconds(1);
constexpr auto agreementRetryDelay = std::chrono::milliseconds(300);

} // namespace

bool KeyControl::confirmGranter(const core::InstanceId &granter, std::uint64_t granterEnd)
{
    const core::TimePoint now = this->parts.clock.now();
    return this->withState([&](State &current) {
        const keyspace::LeaseManager &known = current.leaseManager;
        return current.witness.confirm(granter, granterEnd, known.assignment(), known.logEnd(),
                                       now);
    });
}

keyspace::WitnessAgreement KeyControl::agreeToSuccessor(std::uint64_t successorEnd)
{
    const core::TimePoint now = this->parts.clock.now();
    const auto agreement = this->withState(
            [&](State &current) { return current.witness.agree(successorEnd, now); });
    this->parts.events.write(log::Severity::Info, "successor-agreed",
                             {{"service", this->service.value},
                              {"end", std::to_string(successorEnd)},
                              {"confirmed", agreement.sinceConfirmation ? "yes" : "no"}});
    return agreement;
}

// Instances that may take over keep their witnesses ready, so that the first record names them.
void KeyControl::selectWitnesses(core::TimePoint now)
{
    const bool candidate = this->parts.election.isCandidate();
    const bool due = this->withState([&](State &current) {
        if (now < current.nextSelection || (!candidate && !current.leaseManager.isGranter()))
            return false;
        current.nextSelection = now + selectionInterval;
        return true;
    });
    if (!due)
        return;
    const auto candidates = this->parts.witnessDirectory.candidates();
    const auto queries = this->withState([&](State &current) {
        current.selection.setCandidates(this->parts.witnessDirectory.ownDataCentre(), candidates,
                                        now);
        return current.selection.dueQueries(now);
    });
    for (const keyspace::WitnessCandidate &asked : queries) {
        this->parts.witnesses.queryIdentity(
                asked.peerAddress, this->service,
                [weak = this->weak_from_this(), asked](std::optional<core::InstanceId> identity) {
                    const auto control = weak.lock();
                    if (!control)
                        return;
                    control->withState([&](State &current) {
                        current.selection.onIdentity(asked, identity, control->parts.clock.now());
                        current.leaseManager.setWitnesses(current.selection.witnesses());
                    });
                });
    }
}

void KeyControl::requestConfirmations(core::TimePoint now)
{
    bool changed = false;
    bool confirmed = false;
    const auto requests = this->withState([&](State &current) {
        confirmed = current.leaseManager.isConfirmed(now);
        changed = confirmed != current.wasConfirmed;
        current.wasConfirmed = confirmed;
        return current.leaseManager.dueConfirmations(now);
    });
    if (changed)
        this->parts.events.write(log::Severity::Info,
                                 confirmed ? "granter-confirmed" : "granter-unconfirmed",
                                 {{"service", this->service.value}});
    for (const keyspace::ConfirmationRequest &request : requests) {
        this->parts.gateway.statistics().count("witness_requests_total");
        this->parts.witnesses.requestConfirmation(
                request, this->service, [weak = this->weak_from_this(), request] {
                    const auto control = weak.lock();
                    if (!control)
                        return;
                    control->withState([&request](State &current) {
                        current.leaseManager.onConfirmed(request);
                    });
                    control->parts.gateway.statistics().count("witness_confirmations_total");
                });
    }
}

// Asks the witnesses of earlier granters. The others' answers bound what these may have sent.
void KeyControl::requestAgreements(core::TimePoint now)
{
    const auto requests = this->withState([now](State &current) {
        if (now < current.nextAgreementRequest)
            return std::vector<keyspace::AgreementRequest>();
        current.nextAgreementRequest = now + agreementRetryDelay;
        return current.leaseManager.awaitedAgreements(now);
    });
    for (const keyspace::AgreementRequest &request : requests) {
        if (request.witness.instance == this->self) {
            this->onAgreement(request, this->agreeToSuccessor(request.successorEnd));
            continue;
        }
        this->parts.witnesses.requestAgreement(
                request, this->service,
                [weak = this->weak_from_this(), request](keyspace::WitnessAgreement agreement) {
                    if (const auto control = weak.lock())
                        control->onAgreement(request, agreement);
                });
    }
}

void KeyControl::onAgreement(const keyspace::AgreementRequest &request,
                             const keyspace::WitnessAgreement &agreement)
{
    const core::TimePoint now = this->parts.clock.now();
    this->withState(
            [&](State &current) { current.leaseManager.onAgreement(request, agreement, now); });
}

} // namespace amaranthdale::control
