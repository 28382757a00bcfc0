// Conversion of header fields to nghttp2 name-value pairs.
#pragma once

#include "amaranthdale/core/message.h"

#include <nghttp2/nghttp2.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::peer {

/// Header fields of one outgoing message. `addAll` converts names to lower case and omits
/// connection-specific and invalid fields.
class FieldList
{
public:
    FieldList() = default;
    FieldList(const FieldList &) = delete;
    FieldList &operator=(const FieldList &) = delete;

    void add(std::string_view name, std::string_view value);
    void addAll(const core::Headers &headers);

    /// The pairs point into this object and are valid as long as it lives.
    const std::vector<nghttp2_nv> &entries() const { return this->fields; }

private:
    std::deque<std::string> storage; // A deque keeps the elements that `fields` points to in place.
    std::vector<nghttp2_nv> fields;
};

/// True if `text` is a valid field value, including pseudo-header fields such as :path.
bool isValidFieldValue(std::string_view text);

} // namespace amaranthdale::peer
