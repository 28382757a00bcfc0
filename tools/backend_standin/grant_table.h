// The grant that the stand-in holds, with the checks of fence, lease, slot and hot key.
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
    core::TimePoint expiresAt; ///< On this server's clock.
    std::vector<history::SlotRange> slots;
    std::vector<std::string> hotKeys;
};

void readGrant(records::ObjectReader &reader, Grant &grant);

/// What a request claims in its headers.
struct Claim
{
    std::optional<core::Fence> fence;
    std::optional<core::SlotIndex> slot;
    std::string hotKey; ///< Empty when the request names none.
};

class GrantTable
{
public:
    /// Takes a grant over unless a newer fence is held. Without fence checks any grant is taken.
    bool accept(Grant grant, bool checksFence);

    /// Why a request may not run now; empty when it may.
    std::string whyRefused(const Claim &claim, core::TimePoint now) const;

    core::Epoch epoch() const { return this->held.fence.epoch; }

private:
    bool holds(core::SlotIndex slot) const;
    bool holds(const std::string &hotKey) const;

    Grant held;
};

} // namespace amaranthdale::tools
