// Refusals of a dispatcher. Each message says what the caller can do.
#pragma once

#include "amaranthdale/decisions/request_ledger.h"

namespace amaranthdale::decisions::detail {

/// For ledger verdicts whose refusal needs no other data.
Refusal refusalFor(LedgerVerdict verdict);
Refusal refusedAsLedgerFull(core::Duration wait);
Refusal refusedWithoutAuthority();
Refusal refusedAsDraining();
Refusal refusedAsMoving();
Refusal refusedAsExpired();
Refusal refusedAsBanned(core::Duration remaining);
Refusal refusedAsOverloaded(core::Duration wait);
Refusal refusedAsCallerDisconnected();
Refusal refusedWhileInFlight();
Refusal refusedAfterSending(RunOutcome outcome, core::ErrorKind kind, core::Duration wait);

} // namespace amaranthdale::decisions::detail
