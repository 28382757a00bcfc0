// Part of the budget for response bodies that all requests of a gateway buffer together.
#pragma once

#include "amaranthdale/memory/budget.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace amaranthdale::gateway {

/// What one buffered body holds; given back on destruction. Not thread-safe.
class BufferShare
{
public:
    explicit BufferShare(std::shared_ptr<memory::Budget> budget) : hold(std::move(budget)) { }

    /// Appends `data` to `text`. Returns false if the budget has no room for what the string holds
    /// with its reserve; `data` is appended nevertheless, since it has been received already.
    bool append(std::string &text, const std::string &data)
    {
        const std::size_t size = text.size() + data.size();
        const std::size_t needed =
                size <= text.capacity() ? text.capacity() : std::max(size, 2 * text.capacity());
        const bool permitted = this->hold.tryResize(std::max(needed, this->hold.bytes()));
        if (permitted)
            text.reserve(needed);
        text += data;
        return permitted;
    }

private:
    memory::Hold hold;
};

} // namespace amaranthdale::gateway
