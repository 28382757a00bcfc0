// Parses the path and query of request targets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::tools {

/// A request target split at `/`, `?` and `&`, without percent-decoding.
struct HttpTarget
{
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;

    /// Value of a numeric query field; `fallback` if it is absent, nullopt if it is malformed.
    std::optional<std::uint64_t> number(std::string_view field, std::uint64_t fallback) const;
};

HttpTarget parseTarget(std::string_view target);

/// Parses an unsigned decimal number; nullopt if the text is anything else.
std::optional<std::uint64_t> parseUnsigned(std::string_view text);

} // namespace amaranthdale::tools
