// Parsing of unsigned integers in text from other programs.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthdale::core {

/// Parses a text that consists of one unsigned decimal integer and nothing else.
inline std::optional<std::uint64_t> parseUnsigned(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace amaranthdale::core
