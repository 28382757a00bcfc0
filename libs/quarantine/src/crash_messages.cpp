// Encoding and decoding of messages about crashes.
#include "amaranthdale/quarantine/crash_messages.h"

#include <algorithm>

namespace amaranthdale::quarantine {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t maxMilliseconds = 86'400'000; // One day, the longest block.
constexpr std::uint64_t maxLevel = 255;

void append(std::string &buffer, std::uint64_t value, std::size_t size)
{
    for (std::size_t left = size; left > 0; --left)
        buffer.push_back(static_cast<char>(value >> (8 * (left - 1)) & 0xff));
}

void append(std::string &buffer, core::Duration value)
{
    const auto count = std::chrono::ceil<milliseconds>(value).count();
    append(buffer,
           std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)), maxMilliseconds),
           4);
}

std::size_t appendCount(std::string &buffer, std::size_t entries)
{
    const std::size_t count = std::min(entries, maxMessageEntries);
    append(buffer, count, 1);
    return count;
}

class Reader
{
public:
    explicit Reader(std::string_view bytes) : unread(bytes) { }

    std::uint64_t number(std::size_t size)
    {
        if (size > this->unread.size()) {
            this->failed = true;
            return 0;
        }
        std::uint64_t value = 0;
        for (const char byte : this->unread.substr(0, size))
            value = value << 8 | static_cast<unsigned char>(byte);
        this->unread.remove_prefix(size);
        return value;
    }

    core::Duration duration() { return milliseconds(std::min(this->number(4), maxMilliseconds)); }

    // A number of entries; 0 if it is out of range.
    std::size_t count()
    {
        const std::uint64_t entries = this->number(1);
        this->failed = this->failed || entries > maxMessageEntries;
        return this->failed ? 0 : entries;
    }

    bool isComplete() const { return !this->failed && this->unread.empty(); }

private:
    std::string_view unread;
    bool failed = false;
};

} // namespace

std::string encodeCrashMessage(const CrashMessage &message)
{
    std::string bytes;
    append(bytes, crashMessageByte, 1);
    const std::size_t crashes = appendCount(bytes, message.crashes.size());
    for (std::size_t index = 0; index < crashes; ++index) {
        append(bytes, message.crashes[index].fingerprint, 8);
        append(bytes, message.crashes[index].server, 8);
        append(bytes, message.crashes[index].age);
    }
    const std::size_t blocks = appendCount(bytes, message.blocks.size());
    for (std::size_t index = 0; index < blocks; ++index) {
        append(bytes, message.blocks[index].fingerprint, 8);
        append(bytes, std::min<std::uint64_t>(message.blocks[index].level, maxLevel), 1);
        append(bytes, message.blocks[index].remaining);
    }
    const std::size_t cleared = appendCount(bytes, message.cleared.size());
    for (std::size_t index = 0; index < cleared; ++index)
        append(bytes, message.cleared[index], 8);
    return bytes;
}

std::optional<CrashMessage> decodeCrashMessage(std::string_view bytes)
{
    if (!isCrashMessage(bytes))
        return std::nullopt;
    Reader reader(bytes.substr(1));
    CrashMessage message;
    for (std::size_t left = reader.count(); left > 0; --left) {
        Crash crash;
        crash.fingerprint = reader.number(8);
        crash.server = reader.number(8);
        crash.age = reader.duration();
        message.crashes.push_back(crash);
    }
    for (std::size_t left = reader.count(); left > 0; --left) {
        Block block;
        block.fingerprint = reader.number(8);
        block.level = static_cast<unsigned>(reader.number(1));
        block.remaining = reader.duration();
        message.blocks.push_back(block);
    }
    for (std::size_t left = reader.count(); left > 0; --left)
        message.cleared.push_back(reader.number(8));
    return reader.isComplete() ? std::optional(std::move(message)) : std::nullopt;
}

bool isCrashMessage(std::string_view bytes)
{
    return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == crashMessageByte;
}

} // namespace amaranthdale::quarantine
