// Large response bodies with a known pattern.
#include "backend_standin/blob_body.h"

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t chunkBytes = 64 * 1024;
constexpr std::string_view pattern = "0123456789abcdefghijklmnopqrstuvwxyz";

class BlobBody : public core::BodyReader
{
public:
    BlobBody(std::uint64_t bytes, std::uint64_t cutAt)
        : size(bytes), end(cutAt == 0 ? bytes : std::min(bytes, cutAt))
    { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (this->position == this->end && this->end < this->size)
            return handler(
                    core::Error{core::ErrorKind::ConnectionLost, "injected fault: body truncated"});
        core::BodyChunk chunk;
        const std::uint64_t length = std::min(chunkBytes, this->end - this->position);
        chunk.data.resize(length);
        for (char &byte : chunk.data)
            byte = blobByte(this->position++);
        chunk.last = this->position == this->size;
        handler(std::move(chunk));
    }

private:
    const std::uint64_t size;
    const std::uint64_t end; // Bytes to generate; less than `size` if the body is truncated.
    std::uint64_t position = 0;
};

} // namespace

char blobByte(std::uint64_t position)
{
    return pattern[position % pattern.size()];
}

std::unique_ptr<core::BodyReader> makeBlobBody(std::uint64_t size, std::uint64_t cutAfter)
{
    return std::make_unique<BlobBody>(size, cutAfter);
}

} // namespace amaranthdale::tools
