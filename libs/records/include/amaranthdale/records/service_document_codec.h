// JSON encoding of service documents.
#pragma once

#include "amaranthdale/decisions/service_document.h"
#include "amaranthdale/records/fault.h"

#include <string>
#include <string_view>

namespace amaranthdale::records {

/// Parses and validates a complete document and reports all faults. Required fields are `service`,
/// `servers` and, for each server, `name`, `dataCentre`, `endpoint`, `requestSlots`, `coldSlots`
/// and `checksFence`. The last three have no default because a wrong one could violate a guarantee
/// of the system.
ValidationResult<decisions::ServiceDocument> parseServiceDocument(std::string_view text);

/// Formats a document with all its fields so that `parseServiceDocument` can read it.
std::string formatServiceDocument(const decisions::ServiceDocument &document);

} // namespace amaranthdale::records
