// Parses the path and query of request targets.
#include "common/http_target.h"

#include <charconv>

namespace amaranthdale::tools {

namespace {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        if (end != 0)
            parts.emplace_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return parts;
}

} // namespace

std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> HttpTarget::number(std::string_view field,
                                                std::uint64_t fallback) const
{
    const auto found = this->query.find(field);
    return found == this->query.end() ? fallback : parseUnsigned(found->second);
}

HttpTarget parseTarget(std::string_view target)
{
    HttpTarget result;
    const std::size_t queryStart = target.find('?');
    result.segments = split(target.substr(0, queryStart), '/');
    if (queryStart == std::string_view::npos)
        return result;
    for (const std::string &field : split(target.substr(queryStart + 1), '&')) {
        const std::size_t equals = field.find('=');
        const bool hasValue = equals != std::string::npos;
        result.query[field.substr(0, equals)] = hasValue ? field.substr(equals + 1) : "";
    }
    return result;
}

} // namespace amaranthdale::tools
