// Ledger keys of request ids.
#pragma once

#include "amaranthdale/decisions/request.h"

namespace amaranthdale::decisions::detail {

struct LedgerKey
{
    std::string text;
    std::optional<core::LogOffset> issuedAt; // Not set for ids chosen by callers.
};

/// Offset in a key, or nothing for ids chosen by callers.
inline std::optional<core::LogOffset> issuedAt(const std::string &text)
{
    return parseIssuedId(text);
}

/// Whether an id counts as issued depends on its format only, whatever origin was declared. Ids
/// chosen by callers are prefixed with their brand, since two brands may choose the same id; the
/// prefix begins with a digit, so such a key never parses as an issued id.
inline LedgerKey keyOf(const RequestInfo &request)
{
    const std::string &id = request.id.value;
    if (const auto offset = parseIssuedId(id))
        return {id, offset};
    const std::string &brand = request.brand.value;
    return {std::to_string(brand.size()) + ":" + brand + ":" + id, std::nullopt};
}

} // namespace amaranthdale::decisions::detail
