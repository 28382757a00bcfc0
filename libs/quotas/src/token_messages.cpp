// Encoding and decoding of token messages.
#include "amaranthdale/quotas/token_messages.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>

namespace amaranthdale::quotas {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t nameSeed = 0x71756f7461;
constexpr std::uint64_t maxMilliseconds = 60'000; // Longer times are no times of this protocol.

void append(std::string &buffer, std::uint64_t value, std::size_t size)
{
    for (std::size_t left = size; left > 0; --left)
        buffer.push_back(static_cast<char>(value >> (8 * (left - 1)) & 0xff));
}

void append(std::string &buffer, core::Duration value)
{
    const auto count = std::chrono::ceil<milliseconds>(value).count();
    append(buffer, std::clamp<std::int64_t>(count, 0, maxMilliseconds), 2);
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

    core::Duration duration() { return milliseconds(std::min(this->number(2), maxMilliseconds)); }

    bool hasFailed() const { return this->failed; }
    bool isComplete() const { return !this->failed && this->unread.empty(); }

private:
    std::string_view unread;
    bool failed = false;
};

std::string encode(const TokenAsk &ask)
{
    std::string bytes;
    append(bytes, tokenAskByte, 1);
    append(bytes, ask.group, 1);
    append(bytes, ask.sequence, 8);
    append(bytes, ask.lender, 8);
    append(bytes, ask.stamp, 8);
    append(bytes, ask.firstPledge ? 1 : 0, 1);
    const std::size_t count = std::min(ask.entries.size(), maxMessageEntries);
    append(bytes, count, 1);
    for (std::size_t index = 0; index < count; ++index) {
        append(bytes, ask.entries[index].organisation, 8);
        append(bytes, ask.entries[index].want, 2);
        append(bytes, ask.entries[index].returned, 2);
        append(bytes, ask.entries[index].returnedAge);
    }
    return bytes;
}

std::string encode(const TokenReply &reply)
{
    std::string bytes;
    append(bytes, tokenReplyByte, 1);
    append(bytes, reply.group, 1);
    append(bytes, reply.sequence, 8);
    append(bytes, reply.lender, 8);
    append(bytes, reply.stamp, 8);
    append(bytes, reply.pledgeTime);
    const std::size_t count = std::min(reply.entries.size(), maxMessageEntries);
    append(bytes, count, 1);
    for (std::size_t index = 0; index < count; ++index) {
        append(bytes, reply.entries[index].organisation, 8);
        append(bytes, reply.entries[index].lent, 2);
        append(bytes, reply.entries[index].limited ? 1 : 0, 1);
        append(bytes, reply.entries[index].comeBack);
    }
    return bytes;
}

TokenAsk readAsk(Reader &reader)
{
    TokenAsk ask;
    ask.group = static_cast<std::uint8_t>(reader.number(1));
    ask.sequence = reader.number(8);
    ask.lender = reader.number(8);
    ask.stamp = reader.number(8);
    ask.firstPledge = reader.number(1) != 0;
    const std::size_t count = std::min<std::size_t>(reader.number(1), maxMessageEntries);
    for (std::size_t index = 0; index < count && !reader.hasFailed(); ++index) {
        AskEntry &entry = ask.entries.emplace_back();
        entry.organisation = reader.number(8);
        entry.want = static_cast<std::uint16_t>(reader.number(2));
        entry.returned = static_cast<std::uint16_t>(reader.number(2));
        entry.returnedAge = reader.duration();
    }
    return ask;
}

TokenReply readReply(Reader &reader)
{
    TokenReply reply;
    reply.group = static_cast<std::uint8_t>(reader.number(1));
    reply.sequence = reader.number(8);
    reply.lender = reader.number(8);
    reply.stamp = reader.number(8);
    reply.pledgeTime = reader.duration();
    const std::size_t count = std::min<std::size_t>(reader.number(1), maxMessageEntries);
    for (std::size_t index = 0; index < count && !reader.hasFailed(); ++index) {
        ReplyEntry &entry = reply.entries.emplace_back();
        entry.organisation = reader.number(8);
        entry.lent = static_cast<std::uint16_t>(reader.number(2));
        entry.limited = reader.number(1) != 0;
        entry.comeBack = reader.duration();
    }
    return reply;
}

} // namespace

OrganisationId organisationId(const core::OrganisationName &name)
{
    return core::stableHash(name.value, nameSeed);
}

std::string encodeTokenMessage(const TokenMessage &message)
{
    return std::visit([](const auto &content) { return encode(content); }, message);
}

bool isTokenMessage(std::string_view bytes)
{
    if (bytes.empty())
        return false;
    const auto first = static_cast<unsigned char>(bytes.front());
    return first == tokenAskByte || first == tokenReplyByte;
}

std::optional<TokenMessage> decodeTokenMessage(std::string_view bytes)
{
    if (!isTokenMessage(bytes) || bytes.size() > maxMessageBytes)
        return std::nullopt;
    Reader reader(bytes);
    TokenMessage message;
    if (reader.number(1) == tokenAskByte)
        message = readAsk(reader);
    else
        message = readReply(reader);
    if (!reader.isComplete())
        return std::nullopt;
    return message;
}

} // namespace amaranthdale::quotas
