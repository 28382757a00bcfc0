// Checks requests against the fence, lease, slots and hot keys of a grant.
#include "backend_standin/grant_table.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

using records::ObjectReader;
using records::Presence;

constexpr std::uint64_t maxExpiry = 1'000'000'000'000'000; // Milliseconds.
constexpr std::string_view slotsHint = "must be a pair of first and last slot";

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
            reader.addFault("slots[" + std::to_string(index) + "]", std::string(slotsHint));
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
            reader.addFault("hotKeys[" + std::to_string(index) + "]",
                            "wrong type; must be a string");
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
    reader.integer("expiresAtMs", expiry, std::uint64_t(0), maxExpiry);
    grant.expiresAt = core::TimePoint(std::chrono::milliseconds(expiry));
    readSlots(reader, grant.slots);
    readHotKeys(reader, grant.hotKeys);
}

bool GrantTable::accept(Grant grant, bool checksFence)
{
    if (checksFence && grant.fence < this->current.fence)
        return false;
    this->current = std::move(grant);
    return true;
}

std::string GrantTable::refusalReason(const OwnershipClaim &claim, core::TimePoint now) const
{
    if (!claim.fence)
        return "the X-Fence header is missing or malformed";
    if (claim.fence->epoch != this->current.fence.epoch)
        return "epoch " + std::to_string(this->current.fence.epoch.value) + " is in effect";
    if (now >= this->current.expiresAt)
        return "the lease has expired";
    if (!claim.hotKey.empty())
        return this->covers(claim.hotKey) ? "" : "the grant does not include this hot key";
    if (claim.slot && !this->covers(*claim.slot))
        return "slot " + std::to_string(*claim.slot) + " is not in the grant";
    return {};
}

bool GrantTable::covers(core::SlotIndex slot) const
{
    return std::any_of(this->current.slots.begin(), this->current.slots.end(),
                       [slot](const history::SlotRange &range) {
                           return range.first <= slot && slot <= range.last;
                       });
}

bool GrantTable::covers(const std::string &hotKey) const
{
    return std::find(this->current.hotKeys.begin(), this->current.hotKeys.end(), hotKey)
            != this->current.hotKeys.end();
}

} // namespace amaranthdale::tools
