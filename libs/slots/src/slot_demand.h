// Conversion between demands and slot requests. Messages state times as remaining durations, since
// clocks of different instances aren't compared.
#pragma once

#include "slot_messages.h"

namespace amaranthdale::slots {

/// The request for a slot of `demand`, without the pool and the requester's data centre.
SlotRequest makeSlotRequest(const balance::Demand &demand, core::TimePoint now);

/// The demand of a request that was received at `now`.
balance::Demand makeDemand(const SlotRequest &request, core::TimePoint now);

} // namespace amaranthdale::slots
