// Bound for the bytes that other processes make this one hold, and the order in which holders are
// given up when it is reached.
#pragma once

#include "amaranthdale/core/types.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace amaranthdale::memory {

/// A holder that can be made to give its bytes back. Thread-safe.
class Evictable
{
public:
    virtual ~Evictable() = default;

    /// Gives back what it holds, soon after this call. May be called from any thread.
    virtual void evict() = 0;
};

/// Limits of a budget.
struct BudgetLimits
{
    std::size_t bytes = std::numeric_limits<std::size_t>::max();
    /// Part of `bytes` that only holders of at most `smallHoldBytes` may use, so that ordinary
    /// requests are still served when large bodies have taken the rest.
    std::size_t reservedForSmall = 0;
    std::size_t smallHoldBytes = 64 * 1024;
    /// What one holder may take when it is larger than `bytes` and the others hold next to nothing.
    std::size_t singleHoldBytes = 0;
};

/// What happened to holders of a budget since the start.
struct BudgetCounts
{
    std::atomic<std::uint64_t> evicted{0};
    std::atomic<std::uint64_t> paused{0};  ///< Waited for room.
    std::atomic<std::uint64_t> refused{0}; ///< Got no room.
};

/// Bytes that may be held, and the incomplete messages among the holders. Thread-safe. The mutex
/// is a leaf lock: no holder is called while it is held.
class Budget
{
public:
    explicit Budget(const BudgetLimits &budgetLimits) : limits(budgetLimits) { }

    /// Changes what one holder holds. Returns false, and changes nothing, if that exceeds a limit.
    bool tryChange(std::size_t from, std::size_t to);

    std::size_t used() const { return this->taken; }

    std::size_t limit() const { return this->limits.bytes; }

    BudgetCounts counts; ///< Holders count their pauses and refusals here.

    /// Records that an incomplete message holds `bytes` and last made progress at `progress`. The
    /// message is a request that arrives, or a response that is being written.
    void setIncomplete(const std::shared_ptr<Evictable> &holder, std::size_t bytes,
                       core::TimePoint progress);

    /// The message of `holder` is complete or gone.
    void removeIncomplete(const Evictable *holder);

    /// Evicts incomplete messages without progress since `stalledBefore`, those first that have
    /// been without progress for longest, until they hold `bytes` together. Returns what they hold.
    std::size_t evictStalled(std::size_t bytes, core::TimePoint stalledBefore);

private:
    struct Incomplete
    {
        std::weak_ptr<Evictable> holder;
        std::size_t bytes = 0;
        core::TimePoint progress{};
    };

    bool permits(std::size_t others, std::size_t size) const;

    const BudgetLimits limits;
    std::atomic<std::size_t> taken{0};
    std::mutex mutex; // Guards incomplete.
    std::unordered_map<const Evictable *, Incomplete> incomplete;
};

/// What one holder holds of a budget; given back on destruction. Movable. Not thread-safe.
class Hold
{
public:
    Hold() = default;
    explicit Hold(std::shared_ptr<Budget> holdBudget) : budget(std::move(holdBudget)) { }
    Hold(Hold &&other) noexcept
        : budget(std::move(other.budget)), size(std::exchange(other.size, 0))
    { }
    Hold &operator=(Hold &&) = delete;
    ~Hold() { this->tryResize(0); }

    /// Returns false, and changes nothing, if the budget doesn't permit it. Shrinking succeeds.
    bool tryResize(std::size_t bytes)
    {
        if (bytes == this->size || !this->budget)
            return true;
        if (!this->budget->tryChange(this->size, bytes))
            return false;
        this->size = bytes;
        return true;
    }

    /// Moves what is held to a new hold.
    Hold take()
    {
        Hold taken(this->budget);
        taken.size = std::exchange(this->size, 0);
        return taken;
    }

    std::size_t bytes() const { return this->size; }

private:
    std::shared_ptr<Budget> budget;
    std::size_t size = 0;
};

} // namespace amaranthdale::memory
