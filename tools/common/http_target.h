// Paths and queries of request targets.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::tools {

/// A target split at `/`, `?` and `&`; nothing is decoded.
struct HttpTarget
{
    std::vector<std::string> segments;
    std::map<std::string, std::string, std::less<>> query;

    /// The number in a query field; `fallback` when the field is absent, nothing when it is bad.
    std::optional<std::uint64_t> number(std::string_view field, std::uint64_t fallback) const;
};

HttpTarget parseTarget(std::string_view target);

/// A whole decimal number without sign, or nothing.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace amaranthdale::tools
