// Deficit round robin by brand.
#include "amaranthdale/decisions/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace amaranthdale::decisions {

FairQueue::FairQueue(const std::vector<Brand> &brands, std::size_t maxLength) : capacity(maxLength)
{
    for (const Brand &brand : brands)
        this->weights[brand.name] = std::max(brand.weight, 1U);
}

PushResult FairQueue::push(QueueEntry entry)
{
    PushResult result;
    if (this->length >= this->capacity) {
        const auto longestQueue = this->findLongestQueue();
        if (longestQueue == this->queues.end())
            return result;
        const auto ownQueue = this->queues.find(entry.brand);
        const std::size_t ownLength =
                ownQueue == this->queues.end() ? 0 : ownQueue->second.entries.size();
        // Compares the two lengths divided by their weights, without division.
        const bool ownIsLongest = (ownLength + 1) * longestQueue->second.weight
                >= longestQueue->second.entries.size() * this->weightOf(entry.brand);
        if (ownIsLongest)
            return result;
        result.evicted = longestQueue->second.entries.back().ticket;
        longestQueue->second.entries.pop_back();
        --this->length;
        this->removeIfEmpty(core::BrandName(longestQueue->first));
    }
    this->queueFor(entry.brand).entries.push_back(std::move(entry));
    ++this->length;
    result.accepted = true;
    return result;
}

std::optional<QueueEntry> FairQueue::pop()
{
    if (this->brandOrder.empty())
        return std::nullopt;
    const core::BrandName brand = this->brandOrder.front();
    BrandQueue &queue = this->queues.at(brand);
    if (queue.deficit == 0)
        queue.deficit = queue.weight;
    QueueEntry entry = std::move(queue.entries.front());
    queue.entries.pop_front();
    --queue.deficit;
    --this->length;
    if (queue.deficit == 0)
        this->brandOrder.splice(this->brandOrder.end(), this->brandOrder, this->brandOrder.begin());
    this->removeIfEmpty(brand);
    return entry;
}

bool FairQueue::remove(Ticket ticket)
{
    for (auto &[brand, queue] : this->queues) {
        const auto found =
                std::find_if(queue.entries.begin(), queue.entries.end(),
                             [&](const QueueEntry &entry) { return entry.ticket == ticket; });
        if (found == queue.entries.end())
            continue;
        queue.entries.erase(found);
        --this->length;
        this->removeIfEmpty(core::BrandName(brand));
        return true;
    }
    return false;
}

std::vector<QueueEntry> FairQueue::takeExpired(core::TimePoint now)
{
    std::vector<QueueEntry> expired;
    for (auto position = this->queues.begin(); position != this->queues.end();) {
        const core::BrandName brand = position->first;
        std::deque<QueueEntry> &entries = position->second.entries;
        ++position;
        const auto firstExpired =
                std::stable_partition(entries.begin(), entries.end(), [&](const QueueEntry &entry) {
                    return entry.deadline > now;
                });
        std::move(firstExpired, entries.end(), std::back_inserter(expired));
        this->length -= static_cast<std::size_t>(entries.end() - firstExpired);
        entries.erase(firstExpired, entries.end());
        this->removeIfEmpty(brand);
    }
    return expired;
}

std::vector<QueueEntry> FairQueue::takeAll()
{
    std::vector<QueueEntry> all;
    for (auto &[brand, queue] : this->queues)
        std::move(queue.entries.begin(), queue.entries.end(), std::back_inserter(all));
    this->queues.clear();
    this->brandOrder.clear();
    this->length = 0;
    return all;
}

core::Duration FairQueue::expectedWait(const core::BrandName &brand, core::Duration serviceTime,
                                       unsigned limit) const
{
    const auto ownQueue = this->queues.find(brand);
    const std::size_t ownLength =
            ownQueue == this->queues.end() ? 0 : ownQueue->second.entries.size();
    const unsigned ownWeight = this->weightOf(brand);
    std::size_t ahead = ownLength;
    for (const auto &[other, queue] : this->queues) {
        if (other == brand)
            continue;
        // While this brand's queue drains, each other brand is served in proportion to its weight.
        const std::size_t servedFromOther =
                ((ownLength + 1) * queue.weight + ownWeight - 1) / ownWeight;
        ahead += std::min(queue.entries.size(), servedFromOther);
    }
    const auto requests = static_cast<core::Duration::rep>(ahead + 1);
    return serviceTime * requests / static_cast<core::Duration::rep>(std::max(limit, 1U));
}

FairQueue::BrandQueue &FairQueue::queueFor(const core::BrandName &brand)
{
    const auto [position, inserted] = this->queues.try_emplace(brand);
    if (inserted) {
        position->second.weight = this->weightOf(brand);
        this->brandOrder.push_back(brand);
    }
    return position->second;
}

unsigned FairQueue::weightOf(const core::BrandName &brand) const
{
    const auto found = this->weights.find(brand);
    return found == this->weights.end() ? 1 : found->second;
}

std::map<core::BrandName, FairQueue::BrandQueue>::iterator FairQueue::findLongestQueue()
{
    return std::max_element(this->queues.begin(), this->queues.end(),
                            [](const auto &left, const auto &right) {
                                return left.second.entries.size() * right.second.weight
                                        < right.second.entries.size() * left.second.weight;
                            });
}

void FairQueue::removeIfEmpty(const core::BrandName &brand)
{
    const auto found = this->queues.find(brand);
    assert(found != this->queues.end());
    if (!found->second.entries.empty())
        return;
    this->queues.erase(found);
    this->brandOrder.remove(brand);
}

} // namespace amaranthdale::decisions
