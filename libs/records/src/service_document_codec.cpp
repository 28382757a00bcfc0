// JSON encoding and validation of service documents.
#include "amaranthdale/records/service_document_codec.h"

#include "amaranthdale/records/duration.h"
#include "json_form.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <set>

namespace amaranthdale::records {

namespace json = boost::json;
using decisions::BackendServer;
using decisions::Brand;
using decisions::ServiceDocument;
using decisions::ValueSource;
using namespace std::chrono_literals;

namespace detail {

namespace {

constexpr core::SlotIndex maxHashSlots = 65536; // Bounds the snapshot size of the owner table.
constexpr std::uint64_t maxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::size_t maxBodyBytesLimit = 64 * 1024 * 1024; // Instances buffer the complete body.
constexpr std::size_t maxPathSegment = 15;
constexpr unsigned maxBrandWeight = 1000;
constexpr unsigned maxRequestSlots = 10'000;
constexpr unsigned maxServerConnections = 100'000;
constexpr core::Duration maxRequestTimeout = 10min;
constexpr core::Duration maxIdempotencyWindow = 24h;

json::object toJson(const ValueSource &source)
{
    switch (source.kind) {
    case ValueSource::Kind::Header:
        return {{"header", jsonText(source.header)}};
    case ValueSource::Kind::PathSegment:
        return {{"pathSegment", source.segment}};
    case ValueSource::Kind::None:
        break;
    }
    return {};
}

void read(ObjectReader &reader, ValueSource &source)
{
    const bool hasHeader = reader.has("header");
    const bool hasSegment = reader.has("pathSegment");
    if (hasHeader && hasSegment)
        reader.addFault("pathSegment", "cannot be combined with header; give only one of them");
    reader.token("header", source.header, Presence::Optional);
    reader.integer("pathSegment", source.segment, std::size_t(0), maxPathSegment,
                   Presence::Optional);
    if (hasHeader)
        source.kind = ValueSource::Kind::Header;
    else if (hasSegment)
        source.kind = ValueSource::Kind::PathSegment;
}

json::object toJson(const decisions::Objective &objective)
{
    return {{"availability", objective.availability},
            {"latency", jsonText(formatDuration(objective.latency))},
            {"latencyShare", objective.latencyShare}};
}

void read(ObjectReader &reader, decisions::Objective &objective)
{
    reader.fraction("availability", objective.availability, 0, 1, Presence::Optional);
    reader.duration("latency", objective.latency, 1us, maxRequestTimeout, Presence::Optional);
    reader.fraction("latencyShare", objective.latencyShare, 0, 1, Presence::Optional);
}

void readBrands(ObjectReader &reader, std::vector<Brand> &brands)
{
    std::set<core::BrandName> names;
    reader.objects("brands", Presence::Optional, [&](ObjectReader &each) {
        Brand &brand = brands.emplace_back();
        each.name("name", brand.name);
        each.integer("weight", brand.weight, 1U, maxBrandWeight, Presence::Optional);
        if (!brand.name.empty() && !names.insert(brand.name).second)
            each.addFault("name", "brand " + brand.name.value + " is listed twice; remove one");
    });
}

// Names and endpoints seen so far, with the path of their first occurrence.
struct SeenServers
{
    std::map<core::ServerName, std::string> names;
    std::map<core::Endpoint, std::string> endpoints;
};

void checkUnique(ObjectReader &reader, const BackendServer &server, SeenServers &seen)
{
    if (!server.name.empty()) {
        const auto [entry, isNew] = seen.names.try_emplace(server.name, reader.pathOf("name"));
        if (!isNew)
            reader.addFault("name",
                            "same as " + entry->second + "; give each server a unique name");
    }
    if (!server.endpoint.address.empty()) {
        const auto [entry, isNew] =
                seen.endpoints.try_emplace(server.endpoint, reader.pathOf("endpoint"));
        if (!isNew)
            reader.addFault("endpoint",
                            "same as " + entry->second + "; give each server a unique endpoint");
    }
}

void readServers(ObjectReader &reader, std::vector<BackendServer> &servers)
{
    SeenServers seen;
    reader.objects("servers", Presence::Required, [&](ObjectReader &each) {
        BackendServer &server = servers.emplace_back();
        detail::read(each, server);
        checkUnique(each, server, seen);
    });
}

} // namespace

json::object toJson(const BackendServer &server)
{
    return {{"name", jsonText(server.name.value)},
            {"dataCentre", jsonText(server.dataCentre.value)},
            {"endpoint", jsonText(core::formatEndpoint(server.endpoint))},
            {"requestSlots", server.requestSlots},
            {"coldSlots", server.coldSlots},
            {"maxConnections", server.maxConnections},
            {"checksFence", server.checksFence},
            {"leaving", server.leaving}};
}

void read(ObjectReader &reader, BackendServer &server)
{
    reader.name("name", server.name);
    reader.name("dataCentre", server.dataCentre);
    reader.endpoint("endpoint", server.endpoint);
    reader.integer("requestSlots", server.requestSlots, 1U, maxRequestSlots);
    // A cold limit above the warm one would overload a cold server.
    reader.integer("coldSlots", server.coldSlots, 1U, server.requestSlots);
    reader.integer("maxConnections", server.maxConnections, 1U, maxServerConnections,
                   Presence::Optional);
    reader.boolean("checksFence", server.checksFence);
    reader.boolean("leaving", server.leaving, Presence::Optional);
}

json::object toJson(const ServiceDocument &document)
{
    json::object result = {{"service", jsonText(document.service.value)}};
    if (document.key.kind != ValueSource::Kind::None)
        result["key"] = toJson(document.key);
    if (document.brand.kind != ValueSource::Kind::None)
        result["brand"] = toJson(document.brand);
    json::array brands;
    for (const Brand &brand : document.brands)
        brands.push_back(
                json::object{{"name", jsonText(brand.name.value)}, {"weight", brand.weight}});
    result["brands"] = std::move(brands);
    result["hashSlots"] = document.hashSlots;
    result["hashSeed"] = document.hashSeed;
    result["requestTimeout"] = jsonText(formatDuration(document.requestTimeout));
    result["idempotencyWindow"] = jsonText(formatDuration(document.idempotencyWindow));
    json::array methods;
    for (const std::string &method : document.idempotentMethods)
        methods.push_back(jsonText(method));
    result["idempotentMethods"] = std::move(methods);
    result["maxBodyBytes"] = document.maxBodyBytes;
    result["objective"] = toJson(document.objective);
    json::array servers;
    for (const BackendServer &server : document.servers)
        servers.push_back(toJson(server));
    result["servers"] = std::move(servers);
    return result;
}

void read(ObjectReader &reader, ServiceDocument &document)
{
    reader.name("service", document.service);
    if (document.service.value == "-")
        reader.addFault("service", "/-/ is reserved for the system; choose another name");
    reader.object("key", Presence::Optional, [&](ObjectReader &each) { read(each, document.key); });
    reader.object("brand", Presence::Optional,
                  [&](ObjectReader &each) { read(each, document.brand); });
    readBrands(reader, document.brands);
    reader.integer("hashSlots", document.hashSlots, core::SlotIndex(1), maxHashSlots,
                   Presence::Optional);
    reader.integer("hashSeed", document.hashSeed, std::uint64_t(0), maxUint64, Presence::Optional);
    reader.duration("requestTimeout", document.requestTimeout, 1ms, maxRequestTimeout,
                    Presence::Optional);
    reader.duration("idempotencyWindow", document.idempotencyWindow, 1s, maxIdempotencyWindow,
                    Presence::Optional);
    reader.tokens("idempotentMethods", document.idempotentMethods, Presence::Optional);
    reader.integer("maxBodyBytes", document.maxBodyBytes, std::size_t(1), maxBodyBytesLimit,
                   Presence::Optional);
    reader.object("objective", Presence::Optional,
                  [&](ObjectReader &each) { read(each, document.objective); });
    readServers(reader, document.servers);
}

} // namespace detail

ValidationResult<ServiceDocument> parseServiceDocument(std::string_view text)
{
    Faults faults;
    ServiceDocument document;
    if (const std::optional<json::value> value = parseJson(text, faults)) {
        ObjectReader reader(*value, "", faults);
        detail::read(reader, document);
        reader.rejectUnknownFields();
    }
    if (!faults.empty())
        return faults;
    return document;
}

std::string formatServiceDocument(const ServiceDocument &document)
{
    return json::serialize(detail::toJson(document));
}

} // namespace amaranthdale::records
