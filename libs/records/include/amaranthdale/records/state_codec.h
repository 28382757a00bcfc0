// JSON form of the whole replayed state, for snapshots on the log and for fresh instances.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::records {

/// Largest piece of a snapshot in bytes. A record with a piece stays well below the log's limit on
/// a record's size even after its quotation marks are escaped.
inline constexpr std::size_t snapshotPieceBytes = 64 * 1024;

/// Writes the whole state as one line of ASCII.
std::string encodeState(const decisions::ClusterState &state);

/// Reads what `encodeState` writes and checks the invariants of `ClusterState`.
Checked<decisions::ClusterState> decodeState(std::string_view text);

/// Splits an encoded state as of `covers` into pieces of at most `pieceBytes`.
std::vector<decisions::SnapshotRecord> splitState(core::LogOffset covers, std::string_view encoded,
                                                  std::size_t pieceBytes = snapshotPieceBytes);

/// Joins the pieces of one snapshot, in any order. A missing, repeated or foreign piece is a fault.
Checked<std::string> joinState(std::vector<decisions::SnapshotRecord> pieces);

} // namespace amaranthdale::records
