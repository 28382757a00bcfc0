// Reads that one instance requests from another, as request targets.
#pragma once

#include "amaranthdale/relay/record_source.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthdale::relay {

/// A read requested by another instance.
struct ReadRequest
{
    Partition partition;
    std::optional<std::uint64_t> from; ///< Unset: the newest record of each key.
    core::Duration wait{};
    /// Only for an instance that reads the store itself, so that relays never read in a circle.
    bool fromStoreReader = false;
};

std::string formatTarget(const ReadRequest &request);

/// Returns nothing if `target` is malformed.
std::optional<ReadRequest> parseTarget(std::string_view target);

} // namespace amaranthdale::relay
