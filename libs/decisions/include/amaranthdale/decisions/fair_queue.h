// Queue in front of one backend server that shares it between brands.
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

/// What became of an entry that was offered to a queue.
struct QueueOffer
{
    bool accepted = false;
    std::optional<Ticket> displaced; ///< Entry that had to leave for it.
};

/// Deficit round robin by brand; each request costs 1 and a turn adds the brand's weight. When the
/// queue is full, the newest entry of the brand with the longest queue for its weight leaves, so
/// that one brand can't keep the others out.
class FairQueue
{
public:
    FairQueue(const std::vector<Brand> &brands, std::size_t maxLength);

    QueueOffer push(QueueEntry entry);
    /// Next entry to send, or nothing. Its deadline may have passed.
    std::optional<QueueEntry> pop();
    /// Removes the entry of `ticket`. False when there is none.
    bool remove(Ticket ticket);
    /// Removes and returns all entries whose deadline is not after `now`.
    std::vector<QueueEntry> takeExpired(core::TimePoint now);
    /// Removes and returns everything.
    std::vector<QueueEntry> takeAll();

    std::size_t size() const { return this->length; }

    /// How long a new request of `brand` would wait when `limit` requests of `serviceTime` each run
    /// side by side.
    core::Duration expectedWait(const core::BrandName &brand, core::Duration serviceTime,
                                unsigned limit) const;

private:
    struct BrandQueue
    {
        unsigned weight = 1;
        unsigned deficit = 0;
        std::deque<QueueEntry> entries;
    };

    BrandQueue &queueOf(const core::BrandName &brand);
    unsigned weightOf(const core::BrandName &brand) const;
    std::map<core::BrandName, BrandQueue>::iterator longest();
    void dropIfIdle(const core::BrandName &brand);

    std::map<core::BrandName, unsigned> weights;
    std::map<core::BrandName, BrandQueue> queues; // Only brands with entries.
    std::list<core::BrandName> turns;             // The same brands, in order of their turns.
    std::size_t capacity;
    std::size_t length = 0; // At most `capacity`.
};

} // namespace amaranthdale::decisions
