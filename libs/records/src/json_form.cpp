// JSON encoding of shared structs.
#include "json_form.h"

#include <boost/json/array.hpp>

#include <charconv>

namespace amaranthdale::records::detail {

namespace json = boost::json;

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr std::size_t maxEncodedBytes = 1024 * 1024;

} // namespace

std::string percentEncode(std::string_view bytes)
{
    std::string result;
    for (const char byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (code > ' ' && code <= '~' && code != '%') {
            result += byte;
            continue;
        }
        result += '%';
        result += hexDigits[code >> 4];
        result += hexDigits[code & 15];
    }
    return result;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            result += text[index];
            continue;
        }
        if (index + 2 >= text.size())
            return std::nullopt;
        const std::size_t high = hexDigits.find(text[index + 1]);
        const std::size_t low = hexDigits.find(text[index + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        result += static_cast<char>(high << 4 | low);
        index += 2;
    }
    return result;
}

void readBytes(ObjectReader &reader, std::string_view name, std::string &target)
{
    std::string text;
    reader.text(name, text, maxEncodedBytes);
    std::optional<std::string> bytes = percentDecode(text);
    if (!bytes)
        return reader.addFault(name, "invalid percent-encoding; write % as %25");
    target = std::move(*bytes);
}

json::object toJson(const core::InstanceId &id)
{
    return {{"name", jsonText(id.name.value)}, {"incarnation", id.incarnation.value}};
}

void read(ObjectReader &reader, core::InstanceId &id)
{
    reader.name("name", id.name);
    reader.number("incarnation", id.incarnation);
}

json::array toJson(const std::vector<core::InstanceId> &ids)
{
    json::array list;
    for (const core::InstanceId &id : ids)
        list.push_back(toJson(id));
    return list;
}

void readInstances(ObjectReader &reader, std::string_view name, std::vector<core::InstanceId> &ids)
{
    ids.clear();
    reader.objects(name, Presence::Required,
                   [&ids](ObjectReader &each) { read(each, ids.emplace_back()); });
}

} // namespace amaranthdale::records::detail
