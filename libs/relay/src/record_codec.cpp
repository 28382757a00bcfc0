// Encoding and decoding of records.
#include "record_codec.h"

namespace amaranthdale::relay {

namespace {

constexpr std::size_t offsetBytes = 8;
constexpr std::size_t lengthBytes = 4;
constexpr std::uint64_t noValue = 0xffffffff;

void appendNumber(std::string &text, std::uint64_t value, std::size_t size)
{
    for (std::size_t left = size; left > 0; --left)
        text.push_back(static_cast<char>(value >> (8 * (left - 1)) & 0xff));
}

std::uint64_t readNumber(std::string_view &text, std::size_t size)
{
    std::uint64_t value = 0;
    for (const char byte : text.substr(0, size))
        value = value << 8 | static_cast<unsigned char>(byte);
    text.remove_prefix(size);
    return value;
}

core::Error makeDecodeError()
{
    return core::Error{core::ErrorKind::Protocol,
                       "relayed records can't be decoded; run the same version on all instances"};
}

} // namespace

std::string encodeRecords(const std::vector<Record> &records)
{
    std::string body;
    for (const Record &record : records) {
        appendNumber(body, record.offset, offsetBytes);
        appendNumber(body, record.key.size(), lengthBytes);
        appendNumber(body, record.value ? record.value->size() : noValue, lengthBytes);
        body += record.key;
        body += record.value.value_or("");
    }
    return body;
}

core::Outcome<std::vector<Record>> decodeRecords(std::string_view body)
{
    std::vector<Record> records;
    while (!body.empty()) {
        if (body.size() < offsetBytes + 2 * lengthBytes)
            return makeDecodeError();
        Record record;
        record.offset = readNumber(body, offsetBytes);
        const std::uint64_t keySize = readNumber(body, lengthBytes);
        const std::uint64_t valueSize = readNumber(body, lengthBytes);
        const std::uint64_t valueBytes = valueSize == noValue ? 0 : valueSize;
        if (body.size() < keySize + valueBytes)
            return makeDecodeError();
        record.key = std::string(body.substr(0, keySize));
        if (valueSize != noValue)
            record.value = std::string(body.substr(keySize, valueBytes));
        body.remove_prefix(keySize + valueBytes);
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace amaranthdale::relay
