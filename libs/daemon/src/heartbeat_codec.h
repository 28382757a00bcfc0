// Conversion between the control messages of the peer library and the types of the decisions
// library.
#pragma once

#include "amaranthdale/decisions/crash_filter.h"
#include "amaranthdale/decisions/ownership_messages.h"
#include "amaranthdale/decisions/request_ledger.h"
#include "amaranthdale/peer/messages.h"
#include "amaranthdale/tables/guarded.h"

#include <vector>

namespace amaranthdale::daemon {

inline constexpr const char *heartbeatPath = "/heartbeat";
inline constexpr const char *ledgerPath = "/ledger";

decisions::Heartbeat fromMessage(const peer::Heartbeat &message);
decisions::HeartbeatReply fromMessage(const peer::HeartbeatReply &message);

peer::Heartbeat toMessage(const decisions::Heartbeat &heartbeat, core::Duration logAge);
peer::HeartbeatReply toMessage(const decisions::HeartbeatReply &reply, core::LogOffset offset,
                               core::Duration logAge, core::Duration promise);

/// Adds the bans and strikes of the crash filter to a heartbeat.
void addCrashes(peer::Heartbeat &message, const tables::Guarded<decisions::CrashFilter> &filter,
                core::TimePoint now);

/// Merges the bans and strikes of a peer's heartbeat into the crash filter.
void mergeCrashes(const peer::Heartbeat &message, tables::Guarded<decisions::CrashFilter> &filter,
                  core::TimePoint now);

std::vector<decisions::SlotLedger> toSlotLedgers(const peer::LedgerReply &message);
peer::LedgerReply toMessage(const std::vector<decisions::SlotLedger> &ledgers);

} // namespace amaranthdale::daemon
