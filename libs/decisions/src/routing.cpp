// Extraction of keys, brands, ids and deadlines from a caller's request.
#include "amaranthdale/decisions/routing.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <charconv>

namespace amaranthdale::decisions {

namespace {

using core::ErrorKind;
using core::fail;
using core::Result;

// Longer ids would let a caller fill a ledger's memory with few requests.
constexpr std::size_t maxIdBytes = 128;

std::string_view pathWithoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Segment `index` of the path, where 0 is the service name. Empty if there is no such segment.
std::string_view pathSegment(std::string_view target, std::size_t index)
{
    std::string_view rest = pathWithoutQuery(target);
    for (std::size_t position = 0; !rest.empty(); ++position) {
        rest.remove_prefix(1);
        const std::string_view segment = rest.substr(0, rest.find('/'));
        if (position == index)
            return segment;
        rest.remove_prefix(segment.size());
    }
    return {};
}

std::optional<std::string> extractValue(const ValueSource &source, const core::HttpRequest &request)
{
    switch (source.kind) {
    case ValueSource::Kind::None:
        return std::nullopt;
    case ValueSource::Kind::Header: {
        const auto value = core::findHeader(request.headers, source.header);
        if (!value || value->empty())
            return std::nullopt;
        return std::string(*value);
    }
    case ValueSource::Kind::PathSegment: {
        const std::string_view segment = pathSegment(request.target, source.segment + 1);
        if (segment.empty())
            return std::nullopt;
        return std::string(segment);
    }
    }
    return std::nullopt;
}

std::string describeSource(const ValueSource &source)
{
    if (source.kind == ValueSource::Kind::Header)
        return "header " + source.header;
    return "path segment " + std::to_string(source.segment) + " after the service name";
}

Result<core::Duration> requestTimeout(const ServiceDocument &document,
                                      const core::HttpRequest &request)
{
    const auto text = core::findHeader(request.headers, "X-Timeout-Ms");
    if (!text)
        return document.requestTimeout;
    std::uint32_t milliseconds = 0;
    const auto [end, error] =
            std::from_chars(text->data(), text->data() + text->size(), milliseconds);
    if (error != std::errc() || end != text->data() + text->size() || milliseconds == 0)
        return fail(ErrorKind::InvalidArgument,
                    "X-Timeout-Ms must be a positive integer number of milliseconds");
    return std::min<core::Duration>(std::chrono::milliseconds(milliseconds),
                                    document.requestTimeout);
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

Result<void> readRequestId(const core::HttpRequest &request, core::LogOffset replayed,
                           RandomSource &random, RequestInfo &info)
{
    const auto given = core::findHeader(request.headers, "Idempotency-Key");
    if (!given) {
        info.id = makeIssuedId(replayed, random);
        info.origin = IdOrigin::Instance;
        return {};
    }
    if (given->empty() || given->size() > maxIdBytes || !isPrintable(*given))
        return fail(ErrorKind::InvalidArgument,
                    "Idempotency-Key must have 1 to 128 printable characters without spaces");
    info.id = core::RequestId(std::string(*given));
    info.origin = parseIssuedId(*given) ? IdOrigin::Issued : IdOrigin::Caller;
    return {};
}

std::uint64_t fingerprintOf(const core::HttpRequest &request)
{
    const std::uint64_t line = core::stableHash(request.method + ' ' + request.target, 0);
    return core::stableHash(request.body, line);
}

// Sets the slot and the hash of the request's key, if it has one.
void setSlotAndHash(const ServiceDocument &document, RoutedRequest &routed)
{
    if (!routed.key)
        return;
    routed.info.slot = core::slotForKey(*routed.key, document.hashSeed, document.hashSlots);
    routed.info.keyHash = core::stableHash(*routed.key, document.hashSeed);
}

} // namespace

Result<core::ServiceName> serviceOf(std::string_view target)
{
    if (target.empty() || target.front() != '/')
        return fail(ErrorKind::InvalidArgument, "the target must begin with /SERVICE/");
    const std::string_view name = pathSegment(target, 0);
    if (name.empty())
        return fail(ErrorKind::InvalidArgument, "the target must name a service: /SERVICE/...");
    return core::ServiceName(std::string(name));
}

Result<RoutedRequest> routeRequest(const ServiceState &service, const core::HttpRequest &request,
                                   core::LogOffset replayed, RandomSource &random,
                                   core::TimePoint now)
{
    const ServiceDocument &document = service.document;
    RoutedRequest routed;
    RequestInfo &info = routed.info;
    BOOST_LEAF_AUTO(timeout, requestTimeout(document, request));
    BOOST_LEAF_CHECK(readRequestId(request, replayed, random, info));
    info.service = document.service;
    info.deadline = now + timeout;
    info.idempotent = document.isIdempotent(request.method);
    info.fingerprint = fingerprintOf(request);
    info.brand = core::BrandName(extractValue(document.brand, request).value_or(""));

    if (document.keyed()) {
        routed.key = extractValue(document.key, request);
        if (!routed.key)
            return fail(ErrorKind::InvalidArgument,
                        "the request has no key; set it in " + describeSource(document.key));
    } else if (!info.idempotent) {
        // A retry through another instance must reach the same controller.
        routed.key = info.id.value;
    }
    routed.ownerOnly = routed.key.has_value();
    info.anyServer = !routed.ownerOnly;
    setSlotAndHash(document, routed);
    return routed;
}

bool regenerateId(const ServiceState &service, RoutedRequest &routed, core::LogOffset replayed,
                  RandomSource &random)
{
    RequestInfo &info = routed.info;
    const auto issuedAt = parseIssuedId(info.id.value);
    if (info.origin != IdOrigin::Instance || !issuedAt || *issuedAt >= replayed)
        return false;
    info.id = makeIssuedId(replayed, random);
    if (!service.document.keyed() && !info.idempotent)
        routed.key = info.id.value;
    setSlotAndHash(service.document, routed);
    return true;
}

std::optional<core::ServerName> ownerFor(const ServiceState &service, const RoutedRequest &request)
{
    if (!request.key)
        return std::nullopt;
    const core::ServerName &owner = service.ownerOf(*request.key).server;
    if (owner.empty())
        return std::nullopt;
    return owner;
}

} // namespace amaranthdale::decisions
