// JSON encoding of structs shared by several codecs of this library.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::records::detail {

inline boost::json::string jsonText(std::string_view text)
{
    return boost::json::string(text.data(), text.size());
}

/// Encodes `%` and all bytes but printable ASCII without the space as `%XX`.
std::string percentEncode(std::string_view bytes);

/// Returns nullopt for an incomplete or invalid `%XX` sequence.
std::optional<std::string> percentDecode(std::string_view text);

/// Reads a percent-encoded field.
void readBytes(ObjectReader &reader, std::string_view name, std::string &target);

boost::json::object toJson(const core::InstanceId &id);
void read(ObjectReader &reader, core::InstanceId &id);

boost::json::array toJson(const std::vector<core::InstanceId> &ids);
void readInstances(ObjectReader &reader, std::string_view name, std::vector<core::InstanceId> &ids);

boost::json::object toJson(const decisions::BackendServer &server);
void read(ObjectReader &reader, decisions::BackendServer &server);

boost::json::object toJson(const decisions::ServiceDocument &document);
void read(ObjectReader &reader, decisions::ServiceDocument &document);

} // namespace amaranthdale::records::detail
