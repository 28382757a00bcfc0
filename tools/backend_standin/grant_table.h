// Current grant of the stand-in, and the check of requests against it.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/history/events.h"
#include "amaranthdale/records/object_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::tools {

/// Body of `PUT /-/grant`.
struct Grant
{
    core::ServiceName service;
    core::Incarnation incarnation;
    core::Fence fence;
    core::TimePoint expiresAt; ///< Time on this server's clock.
    std::vector<history::SlotRange> slots;
    std::vector<std::string> hotKeys;
};

void readGrant(records::ObjectReader &reader, Grant &grant);

/// Fence, slot and hot key in the headers of a request.
struct OwnershipClaim
{
    std::optional<core::Fence> fence;
    std::optional<core::SlotIndex> slot;
    std::string hotKey; ///< Empty if the request has none.
};

class GrantTable
{
public:
    /// Replaces the current grant unless that has a newer fence. If `checksFence` is false, always
    /// replaces it.
    bool accept(Grant grant, bool checksFence);

    /// Reason to refuse a request at `now`; empty if it may run.
    std::string refusalReason(const OwnershipClaim &claim, core::TimePoint now) const;

    core::Epoch epoch() const { return this->current.fence.epoch; }

private:
    bool covers(core::SlotIndex slot) const;
    bool covers(const std::string &hotKey) const;

    Grant current;
};

} // namespace amaranthdale::tools
