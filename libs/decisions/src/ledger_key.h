// Key of a request id in the ledger.
#pragma once

#include "amaranthdale/decisions/request.h"

namespace amaranthdale::decisions::detail {

struct LedgerKey
{
    std::string text;
    std::optional<core::LogOffset> issuedAt; // Nothing for ids chosen by callers.
};

/// Offset in the text of a key; nothing for ids chosen by callers.
inline std::optional<core::LogOffset> issuedAt(const std::string &text)
{
    return parseIssuedId(text);
}

/// The form of the id decides, whatever its declared origin. Ids chosen by callers are scoped by
/// brand, since two brands may choose the same one; their key begins with a digit, so it is never
/// taken for an issued id.
inline LedgerKey keyOf(const RequestInfo &request)
{
    const std::string &id = request.id.value;
    if (const auto offset = parseIssuedId(id))
        return {id, offset};
    const std::string &brand = request.brand.value;
    return {std::to_string(brand.size()) + ":" + brand + ":" + id, std::nullopt};
}

} // namespace amaranthdale::decisions::detail
