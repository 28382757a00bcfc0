// Checks of fence, lease, slot and hot key.
#include "backend_standin/grant_table.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

using records::ObjectReader;
using records::Presence;

constexpr std::uint64_t latestExpiry = 1'000'000'000'000'000;
constexpr std::string_view slotsRemedy = "give pairs of first and last slot";

void readSlots(ObjectReader &reader, std::vector<history::SlotRange> &slots)
{
    const boost::json::array *list = reader.array("slots", Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const boost::json::array *pair = (*list)[index].if_array();
        boost::json::error_code error;
        history::SlotRange range;
        if (pair && pair->size() == 2) {
            range.first = pair->at(0).to_number<core::SlotIndex>(error);
            boost::json::error_code secondError;
            range.last = pair->at(1).to_number<core::SlotIndex>(secondError);
            error = error ? error : secondError;
        }
        const bool valid = pair && pair->size() == 2 && !error && range.first <= range.last;
        if (valid)
            slots.push_back(range);
        else
            reader.fault("slots[" + std::to_string(index) + "]", std::string(slotsRemedy));
    }
}

void readHotKeys(ObjectReader &reader, std::vector<std::string> &keys)
{
    const boost::json::array *list = reader.array("hotKeys", Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const boost::json::string *key = (*list)[index].if_string();
        if (key)
            keys.emplace_back(key->data(), key->size());
        else
            reader.fault("hotKeys[" + std::to_string(index) + "]", "wrong type; give text");
    }
}

} // namespace

void readGrant(ObjectReader &reader, Grant &grant)
{
    reader.name("service", grant.service);
    reader.number("incarnation", grant.incarnation);
    reader.number("epoch", grant.fence.epoch);
    reader.integer("sequence", grant.fence.sequence, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max());
    std::uint64_t expiry = 0;
    reader.integer("expiresAtMs", expiry, std::uint64_t(0), latestExpiry);
    grant.expiresAt = core::TimePoint(std::chrono::milliseconds(expiry));
    readSlots(reader, grant.slots);
    readHotKeys(reader, grant.hotKeys);
}

bool GrantTable::accept(Grant grant, bool checksFence)
{
    if (checksFence && grant.fence < this->held.fence)
        return false;
    this->held = std::move(grant);
    return true;
}

std::string GrantTable::whyRefused(const Claim &claim, core::TimePoint now) const
{
    if (!claim.fence)
        return "no X-Fence header";
    if (claim.fence->epoch != this->held.fence.epoch)
        return "epoch " + std::to_string(this->held.fence.epoch.value) + " is held";
    if (now >= this->held.expiresAt)
        return "the lease has expired";
    if (!claim.hotKey.empty())
        return this->holds(claim.hotKey) ? "" : "the hot key is not held";
    if (claim.slot && !this->holds(*claim.slot))
        return "slot " + std::to_string(*claim.slot) + " is not held";
    return {};
}

bool GrantTable::holds(core::SlotIndex slot) const
{
    return std::any_of(this->held.slots.begin(), this->held.slots.end(),
                       [slot](const history::SlotRange &range) {
                           return range.first <= slot && slot <= range.last;
                       });
}

bool GrantTable::holds(const std::string &hotKey) const
{
    return std::find(this->held.hotKeys.begin(), this->held.hotKeys.end(), hotKey)
            != this->held.hotKeys.end();
}

} // namespace amaranthdale::tools
