// Queue for one backend server, shared fairly between brands.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/decisions/request_ledger.h"
#include "amaranthdale/decisions/service_document.h"

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace amaranthdale::decisions {

struct QueueEntry
{
    Ticket ticket = 0;
    core::BrandName brand;
    core::TimePoint deadline;
};

/// Result of FairQueue::push.
struct PushResult
{
    bool accepted = false;
    std::optional<Ticket> evicted; ///< Entry that was evicted to make room.
};

/// Deficit round robin by brand: each request costs 1, and each round adds the brand's weight. When
/// the queue is full, a push evicts the newest entry of the brand with the longest queue relative
/// to its weight, so that one brand can't starve the others.
class FairQueue
{
public:
    FairQueue(const std::vector<Brand> &brands, std::size_t maxLength);

    PushResult push(QueueEntry entry);
    /// Next entry to send, or nothing when the queue is empty. Its deadline may have passed.
    std::optional<QueueEntry> pop();
    /// Removes the entry of `ticket`. Returns false when there is none.
    bool remove(Ticket ticket);
    /// Removes and returns all entries whose deadline is at or before `now`.
    std::vector<QueueEntry> takeExpired(core::TimePoint now);
    /// Removes and returns all entries.
    std::vector<QueueEntry> takeAll();

    std::size_t size() const { return this->length; }

    /// Estimated wait of a new request of `brand` when `limit` requests of `serviceTime` each run
    /// concurrently.
    core::Duration expectedWait(const core::BrandName &brand, core::Duration serviceTime,
                                unsigned limit) const;

private:
    struct BrandQueue
    {
        unsigned weight = 1;
        unsigned deficit = 0;
        std::deque<QueueEntry> entries;
    };

    BrandQueue &queueFor(const core::BrandName &brand);
    unsigned weightOf(const core::BrandName &brand) const;
    std::map<core::BrandName, BrandQueue>::iterator findLongestQueue();
    void removeIfEmpty(const core::BrandName &brand);

    std::map<core::BrandName, unsigned> weights;
    std::map<core::BrandName, BrandQueue> queues; // Brands with entries only.
    std::list<core::BrandName> brandOrder;        // The same brands, in round-robin order.
    std::size_t capacity;
    std::size_t length = 0; // At most `capacity`.
};

} // namespace amaranthdale::decisions
