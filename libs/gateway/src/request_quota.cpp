// A request's token of the quota of its organisation.
#include "active_request.h"

#include "request_outcome.h"

namespace amaranthdale::gateway {

using namespace detail;

namespace {

constexpr unsigned tooManyRequests = 429;

// Longest wait for the first token after its lender was asked. Enough for three asks that get no
// reply, after which another lender is asked.
constexpr core::Duration maxQuotaWait = std::chrono::milliseconds(400);

// No attempt could be made with less time left.
constexpr core::Duration minTimeAfterWait = std::chrono::milliseconds(50);

} // namespace

// Continues with the request when it has a token or needs none.
void ActiveRequest::takeQuota()
{
    if (this->gateway.quotaGate == nullptr || this->caller.organisation.empty())
        return this->selectService();
    const core::TimePoint now = this->gateway.clock.uptime();
    this->quotaAnswer = this->gateway.quotaGate->tryTake(this->caller.organisation, now);
    switch (this->quotaAnswer.kind) {
    case quotas::QuotaAnswer::Kind::Granted:
        if (this->quotaAnswer.token.lender == 0)
            return this->selectService();
        this->quotaState = QuotaState::Held;
        // The request may have ended on another thread, which then found no token.
        if (this->isFinished())
            return this->releaseQuota();
        return this->selectService();
    case quotas::QuotaAnswer::Kind::Refused:
        return this->refuseOverQuota(this->quotaAnswer);
    case quotas::QuotaAnswer::Kind::Undecided:
        break;
    }
    if (this->quotaWaitEnd == core::TimePoint())
        this->quotaWaitEnd = now + std::min(maxQuotaWait, this->timeLeft() - minTimeAfterWait);
    if (now >= this->quotaWaitEnd)
        return this->refuseOverQuota(this->quotaAnswer);
    this->beginWaiting();
    this->gateway.quotaGate->whenDecided(this->caller.organisation,
                                         [self = this->shared_from_this()] {
                                             if (!self->isFinished())
                                                 self->takeQuota();
                                         });
}

// Marks the token as used before the request is sent to `target`. A token that is too old to be
// sent with, because the request waited for a slot, is exchanged for a new one. Returns false if
// there is none: then the request has been refused, or will be sent when its lender has responded.
bool ActiveRequest::useQuota(const catalog::BackendServer &target)
{
    const core::TimePoint now = this->gateway.clock.uptime();
    quotas::QuotaGate *gate = this->gateway.quotaGate;
    QuotaState expected = QuotaState::Held;
    if (this->quotaState.compare_exchange_strong(expected, QuotaState::Used)) {
        if (now <= this->quotaAnswer.token.sendUntil)
            return true;
        gate->giveBack(this->caller.organisation, this->quotaAnswer.token, now);
        this->quotaState = QuotaState::Lapsed;
        this->quotaWaitEnd = now + maxQuotaWait;
    } else if (expected != QuotaState::Lapsed) {
        return expected == QuotaState::Used || this->quotaAnswer.token.lender == 0;
    }
    this->quotaAnswer = gate->tryTake(this->caller.organisation, now);
    if (this->quotaAnswer.kind == quotas::QuotaAnswer::Kind::Granted) {
        this->quotaState = QuotaState::Used;
        return true;
    }
    if (this->quotaAnswer.kind == quotas::QuotaAnswer::Kind::Refused || now >= this->quotaWaitEnd) {
        this->endAttempt(balance::AttemptResult::Cancelled);
        this->refuseOverQuota(this->quotaAnswer);
        return false;
    }
    this->beginWaiting();
    gate->whenDecided(this->caller.organisation,
                      [self = this->shared_from_this(), target] { self->send(target); });
    return false;
}

// Called when the attempt that ended has certainly not run the request.
void ActiveRequest::reclaimQuota()
{
    QuotaState expected = QuotaState::Used;
    if (this->attempts == 0)
        this->quotaState.compare_exchange_strong(expected, QuotaState::Held);
}

// Continues after an attempt that reached no server. Another one doesn't count against the retry
// budget. A second attempt in progress may run the request, so the token isn't reclaimed before it
// has ended.
void ActiveRequest::continueUnsent()
{
    this->reclaimQuota();
    if (this->request.key)
        return this->refuse(ownerRetryAfter, "owner-unreachable");
    this->startAttempt();
}

// The only place where the token of a request that was not run is given back.
void ActiveRequest::releaseQuota()
{
    QuotaState expected = QuotaState::Held;
    if (this->quotaState.compare_exchange_strong(expected, QuotaState::None))
        this->gateway.quotaGate->giveBack(this->caller.organisation, this->quotaAnswer.token,
                                          this->gateway.clock.uptime());
}

void ActiveRequest::refuseOverQuota(const quotas::QuotaAnswer &answer)
{
    const bool decided = answer.kind == quotas::QuotaAnswer::Kind::Refused;
    const std::string reason = decided ? "quota-exceeded" : "quota-undecided";
    this->gateway.stats.count(
            "quota_refusals_total",
            "organisation=\"" + Statistics::escapeLabelValue(this->caller.organisation.value)
                    + "\",reason=\"" + reason + '"');
    this->gateway.events.write(log::Severity::Info, reason,
                               {{"organisation", this->caller.organisation.value},
                                {"retryAfter", formatSeconds(answer.comeBack)}});
    Result result = makeFailure(tooManyRequests, reason);
    core::setHeader(result.response.headers, "Retry-After", formatSeconds(answer.comeBack));
    result.outcome = "refused";
    this->finish(std::move(result));
}

} // namespace amaranthdale::gateway
