// The refusals of a dispatcher, each with its remedy.
#pragma once

#include "amaranthdale/decisions/request_ledger.h"

namespace amaranthdale::decisions::detail {

/// For verdicts that need no further figure.
Refusal refusalFor(LedgerVerdict verdict);
Refusal refusedAsLedgerFull(core::Duration wait);
Refusal refusedWithoutAuthority();
Refusal refusedAsDraining();
Refusal refusedAsMoving();
Refusal refusedAsExpired();
Refusal refusedAsBanned(core::Duration remaining);
Refusal refusedAsOverloaded(core::Duration wait);
Refusal refusedAsCallerGone();
Refusal refusedWhileInFlight();
Refusal refusedAfterSending(RunOutcome outcome, core::ErrorKind kind, core::Duration wait);

} // namespace amaranthdale::decisions::detail
