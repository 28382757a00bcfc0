// Bound for the response bodies that all requests of a gateway buffer together.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace amaranthdale::gateway {

/// Bytes that may be buffered. Thread-safe.
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t byteLimit) : limit(byteLimit) { }

    bool tryTake(std::size_t bytes)
    {
        std::size_t current = this->taken.load();
        do {
            if (bytes > this->limit - current)
                return false;
        } while (!this->taken.compare_exchange_weak(current, current + bytes));
        return true;
    }

    void giveBack(std::size_t bytes) { this->taken -= bytes; }

    std::size_t used() const { return this->taken; }

private:
    const std::size_t limit;
    std::atomic<std::size_t> taken{0}; ///< At most `limit`.
};

/// Part of a budget, given back on destruction. Not thread-safe.
class BufferShare
{
public:
    explicit BufferShare(std::shared_ptr<BufferBudget> sharedBudget)
        : budget(std::move(sharedBudget))
    { }
    ~BufferShare() { this->budget->giveBack(this->size); }
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    bool tryGrow(std::size_t bytes)
    {
        if (!this->budget->tryTake(bytes))
            return false;
        this->size += bytes;
        return true;
    }

private:
    const std::shared_ptr<BufferBudget> budget;
    std::size_t size = 0;
};

} // namespace amaranthdale::gateway
