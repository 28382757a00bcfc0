// Header fields in the form nghttp2 takes and gives.
#pragma once

#include "amaranthdale/core/message.h"

#include <nghttp2/nghttp2.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::peer {

/// Fields of one message to send. Names are put in lower case; fields that describe a connection or
/// can't be sent are left out.
class FieldList
{
public:
    FieldList() = default;
    FieldList(const FieldList &) = delete;
    FieldList &operator=(const FieldList &) = delete;

    void add(std::string_view name, std::string_view value);
    void addAll(const core::Headers &headers);

    /// Refers to the texts of this object.
    const std::vector<nghttp2_nv> &list() const { return this->fields; }

private:
    std::deque<std::string> texts; // A deque, since `fields` points into its elements.
    std::vector<nghttp2_nv> fields;
};

/// True when `text` may be the value of a field, such as the path.
bool isFieldValue(std::string_view text);

} // namespace amaranthdale::peer
