// JSON form of service documents.
#pragma once

#include "amaranthdale/decisions/service_document.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Reads and checks a whole document; lists every fault. Fields without a default are `service`,
/// `servers`, and of each server `name`, `dataCentre`, `endpoint`, `requestSlots`, `coldSlots` and
/// `checksFence`: a wrong default of the last three could break a promise.
Checked<decisions::ServiceDocument> parseServiceDocument(std::string_view text);

/// Writes a document with all fields, as `parseServiceDocument` reads it.
std::string formatServiceDocument(const decisions::ServiceDocument &document);

} // namespace amaranthdale::records
