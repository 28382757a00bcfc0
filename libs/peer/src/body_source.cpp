// Copies body chunks into nghttp2's frame buffers.
#include "body_source.h"

#include <algorithm>
#include <cstring>

namespace amaranthdale::peer {

bool BodySource::setChunk(core::BodyChunk next)
{
    if (this->remainingLength) {
        if (next.data.size() > *this->remainingLength)
            return false;
        *this->remainingLength -= next.data.size();
        if (next.last && *this->remainingLength > 0)
            return false;
    }
    this->chunk = std::move(next);
    this->offset = 0;
    return true;
}

BodySource::ReadStatus BodySource::read(std::uint8_t *target, std::size_t capacity,
                                        std::size_t &size)
{
    size = std::min(capacity, this->chunk.data.size() - this->offset);
    std::memcpy(target, this->chunk.data.data() + this->offset, size);
    this->offset += size;
    if (this->offset == this->chunk.data.size() && this->chunk.last)
        return ReadStatus::End;
    return size > 0 ? ReadStatus::Data : ReadStatus::WouldBlock;
}

} // namespace amaranthdale::peer
