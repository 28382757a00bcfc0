// Messages and Retry-After times of a dispatcher's refusals.
#include "refusals.h"

#include <algorithm>

namespace amaranthdale::decisions::detail {

namespace {

using core::ErrorKind;
using std::chrono::milliseconds;

// An instance usually learns of a newer controller or log offset within this time.
constexpr core::Duration stateUpdateTime = milliseconds(20);
// A planned move of a slot takes about one append and two grants.
constexpr core::Duration slotMoveTime = milliseconds(100);
constexpr core::Duration minRetryAfter = milliseconds(1);

} // namespace

Refusal refusalFor(LedgerVerdict verdict)
{
    switch (verdict) {
    case LedgerVerdict::FingerprintMismatch:
        return {RunOutcome::Unknown,
                ErrorKind::Conflict,
                "the request id was used for another request; send this one with a new id",
                {}};
    case LedgerVerdict::OffsetNotReplayed:
        // Fenced, since a newer controller that isn't known here may already have sent it.
        return {RunOutcome::NotRun, ErrorKind::Fenced,
                "the request id is newer than this instance's state; retry the request",
                stateUpdateTime};
    case LedgerVerdict::BeforeKnownSince:
        return {RunOutcome::NotRun, ErrorKind::Fenced,
                "the request id is older than this controller's ledger; send the request with a "
                "new id",
                stateUpdateTime};
    case LedgerVerdict::NotOwned:
        return {RunOutcome::NotRun, ErrorKind::Fenced,
                "another instance controls the hash slot; send the request there", stateUpdateTime};
    default:
        return {RunOutcome::Unknown,
                ErrorKind::Timeout,
                "it is unknown whether the request ran; check its effect before sending it with a "
                "new id",
                {}};
    }
}

Refusal refusedAsLedgerFull(core::Duration wait)
{
    return {RunOutcome::NotRun, ErrorKind::Overloaded,
            "the ledger has no space for another request id; retry the request later",
            std::max(wait, stateUpdateTime)};
}

Refusal refusedWithoutAuthority()
{
    return {RunOutcome::NotRun, ErrorKind::Fenced,
            "this instance has no authority over the backend server; send the request to its "
            "current controller",
            stateUpdateTime};
}

Refusal refusedAsDraining()
{
    return {RunOutcome::NotRun,
            ErrorKind::Unavailable,
            "the backend server is being drained; use another one",
            {}};
}

Refusal refusedAsMoving()
{
    return {RunOutcome::NotRun, ErrorKind::Unavailable,
            "the hash slot is moving to another backend server; retry the request", slotMoveTime};
}

Refusal refusedAsExpired()
{
    return {RunOutcome::NotRun,
            ErrorKind::Timeout,
            "the deadline passed before the request could be sent; allow more time",
            {}};
}

Refusal refusedAsBanned(core::Duration remaining)
{
    return {RunOutcome::NotRun, ErrorKind::Conflict,
            "two backend servers crashed while they ran this request; correct the request",
            remaining};
}

Refusal refusedAsOverloaded(core::Duration wait)
{
    return {RunOutcome::NotRun, ErrorKind::Overloaded,
            "the backend server is busy; retry the request after the Retry-After time",
            std::max(wait, minRetryAfter)};
}

Refusal refusedAsCallerDisconnected()
{
    return {RunOutcome::NotRun,
            ErrorKind::Unavailable,
            "the caller disconnected before the request was sent; retry the request",
            {}};
}

Refusal refusedWhileInFlight()
{
    return {RunOutcome::Unknown,
            ErrorKind::Timeout,
            "the first request with this id is still running; retry later with the same id",
            {}};
}

Refusal refusedAfterSending(RunOutcome outcome, ErrorKind kind, core::Duration wait)
{
    if (outcome == RunOutcome::NotRun)
        return {outcome, kind, "the backend server did not run the request; retry the request",
                std::max(wait, minRetryAfter)};
    return {outcome,
            kind,
            "the backend server's response was lost; retry with the same id to learn the outcome",
            {}};
}

} // namespace amaranthdale::decisions::detail
