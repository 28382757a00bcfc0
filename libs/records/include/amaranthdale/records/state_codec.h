// JSON encoding of the complete replayed state, for log snapshots and for instances that start.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::records {

/// Maximum size of a snapshot piece. Even with all quotation marks escaped, a record with such a
/// piece stays well below the log's record size limit.
inline constexpr std::size_t snapshotPieceBytes = 64 * 1024;

/// Encodes the complete state as one line of ASCII.
std::string encodeState(const decisions::ClusterState &state);

/// Decodes the output of `encodeState` and checks the invariants of `ClusterState`.
ValidationResult<decisions::ClusterState> decodeState(std::string_view text);

/// Splits the encoded state at log offset `covers` into pieces of at most `pieceBytes`.
std::vector<decisions::SnapshotRecord> splitState(core::LogOffset covers, std::string_view encoded,
                                                  std::size_t pieceBytes = snapshotPieceBytes);

/// Joins the pieces of one snapshot, given in any order. Missing or duplicate pieces and pieces of
/// other snapshots are faults.
ValidationResult<std::string> joinState(std::vector<decisions::SnapshotRecord> pieces);

} // namespace amaranthdale::records
