// Accounting and order of eviction.
#include "amaranthdale/memory/budget.h"

#include <algorithm>

namespace amaranthdale::memory {

namespace {

// The others hold next to nothing if they hold less than this share of the budget.
constexpr std::size_t singleHoldDivisor = 8;

} // namespace

bool Budget::permits(std::size_t others, std::size_t size) const
{
    const bool small = size <= this->limits.smallHoldBytes;
    const std::size_t reserved =
            small ? 0 : std::min(this->limits.reservedForSmall, this->limits.bytes);
    const std::size_t available = this->limits.bytes - reserved;
    if (others <= available && size <= available - others)
        return true;
    return size <= this->limits.singleHoldBytes && others <= this->limits.bytes / singleHoldDivisor;
}

bool Budget::tryChange(std::size_t from, std::size_t to)
{
    std::size_t current = this->taken.load();
    do {
        if (to > from && !this->permits(current - from, to))
            return false;
    } while (!this->taken.compare_exchange_weak(current, current - from + to));
    return true;
}

void Budget::setIncomplete(const std::shared_ptr<Evictable> &holder, std::size_t bytes,
                           core::TimePoint progress)
{
    std::lock_guard lock(this->mutex);
    this->incomplete[holder.get()] = Incomplete{holder, bytes, progress};
}

void Budget::removeIncomplete(const Evictable *holder)
{
    std::lock_guard lock(this->mutex);
    this->incomplete.erase(holder);
}

std::size_t Budget::evictStalled(std::size_t bytes, core::TimePoint stalledBefore)
{
    std::vector<Incomplete> stalled;
    std::size_t evictedBytes = 0;
    {
        std::lock_guard lock(this->mutex);
        std::vector<std::pair<core::TimePoint, const Evictable *>> order;
        for (const auto &[holder, message] : this->incomplete) {
            if (message.progress < stalledBefore)
                order.emplace_back(message.progress, holder);
        }
        std::sort(order.begin(), order.end());
        for (const auto &[progress, holder] : order) {
            if (evictedBytes >= bytes)
                break;
            const auto found = this->incomplete.find(holder);
            evictedBytes += found->second.bytes;
            stalled.push_back(std::move(found->second));
            this->incomplete.erase(found);
        }
    }
    this->counts.evicted += stalled.size();
    for (const Incomplete &message : stalled) {
        if (const auto holder = message.holder.lock())
            holder->evict();
    }
    return evictedBytes;
}

} // namespace amaranthdale::memory
