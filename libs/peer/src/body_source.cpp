// Copies body chunks into frames.
#include "body_source.h"

#include <algorithm>
#include <cstring>

namespace amaranthdale::peer {

bool BodySource::put(core::BodyChunk next)
{
    if (this->remaining) {
        if (next.data.size() > *this->remaining)
            return false;
        *this->remaining -= next.data.size();
        if (next.last && *this->remaining > 0)
            return false;
    }
    this->chunk = std::move(next);
    this->offset = 0;
    return true;
}

BodySource::Supply BodySource::provide(std::uint8_t *target, std::size_t capacity,
                                       std::size_t &size)
{
    size = std::min(capacity, this->chunk.data.size() - this->offset);
    std::memcpy(target, this->chunk.data.data() + this->offset, size);
    this->offset += size;
    if (this->offset == this->chunk.data.size() && this->chunk.last)
        return Supply::End;
    return size > 0 ? Supply::Data : Supply::Wait;
}

} // namespace amaranthdale::peer
