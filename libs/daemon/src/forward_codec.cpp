// Encoding of forwarded requests as header fields, which HPACK compresses well.
#include "forward_codec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace amaranthdale::daemon {

namespace {

using core::ErrorKind;
using core::fail;
using core::findHeader;
using core::Header;
using core::Headers;
using core::Result;
using decisions::RunOutcome;

constexpr std::string_view reservedPrefix = "amd-";
// One day. No service has a longer deadline, and much larger values would overflow a time point.
constexpr std::uint64_t maxTimeMicroseconds = 24ULL * 3600 * 1'000'000;

constexpr std::uint64_t maxSlot = std::numeric_limits<core::SlotIndex>::max();
constexpr auto maxOrigin = static_cast<std::uint64_t>(decisions::IdOrigin::Instance);

constexpr RunOutcome allOutcomes[] = {RunOutcome::Answered, RunOutcome::NotRun,
                                      RunOutcome::Unknown};
constexpr ErrorKind allKinds[] = {
        ErrorKind::InvalidArgument, ErrorKind::InvalidDocument, ErrorKind::NotFound,
        ErrorKind::Conflict,        ErrorKind::Unavailable,     ErrorKind::ConnectionLost,
        ErrorKind::Timeout,         ErrorKind::Overloaded,      ErrorKind::Fenced,
        ErrorKind::Protocol,        ErrorKind::Internal,
};

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// Header names are case-insensitive, so "AMD-Slot" is reserved as well.
bool isReserved(const Header &header)
{
    return header.name.size() >= reservedPrefix.size()
            && std::equal(reservedPrefix.begin(), reservedPrefix.end(), header.name.begin(),
                          [](char prefix, char c) { return prefix == lowerCase(c); });
}

void removeReserved(Headers &headers)
{
    std::erase_if(headers, isReserved);
}

Result<std::string> requireHeader(const Headers &headers, std::string_view name)
{
    const auto value = findHeader(headers, name);
    if (!value)
        return fail(ErrorKind::Protocol,
                    "peer message has no header " + std::string(name)
                            + "; run the same release on all instances");
    return std::string(*value);
}

Result<std::uint64_t> requireNumber(const Headers &headers, std::string_view name)
{
    BOOST_LEAF_AUTO(text, requireHeader(headers, name));
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return fail(ErrorKind::Protocol,
                    "header " + std::string(name) + " is not an unsigned integer");
    return number;
}

// Like `requireNumber`; also fails if the number exceeds `max`.
Result<std::uint64_t> requireNumberAtMost(const Headers &headers, std::string_view name,
                                          std::uint64_t max)
{
    BOOST_LEAF_AUTO(number, requireNumber(headers, name));
    if (number > max)
        return fail(ErrorKind::Protocol,
                    "header " + std::string(name) + " exceeds " + std::to_string(max));
    return number;
}

Result<RunOutcome> parseOutcome(std::string_view name)
{
    for (RunOutcome outcome : allOutcomes) {
        if (outcomeName(outcome) == name)
            return outcome;
    }
    return fail(ErrorKind::Protocol, "unknown outcome '" + std::string(name) + "'");
}

ErrorKind parseErrorKind(std::string_view name)
{
    for (ErrorKind kind : allKinds) {
        if (core::errorKindName(kind) == name)
            return kind;
    }
    return ErrorKind::Internal;
}

std::string formatLoad(const decisions::DispatcherLoad &load)
{
    return std::to_string(load.inFlight) + ' ' + std::to_string(load.limit) + ' '
            + std::to_string(load.queued);
}

std::optional<decisions::DispatcherLoad> parseLoad(std::string_view text)
{
    decisions::DispatcherLoad load;
    const char *position = text.data();
    const char *const end = position + text.size();
    for (unsigned *field : {&load.inFlight, &load.limit, &load.queued}) {
        while (position != end && *position == ' ')
            ++position;
        const auto [next, error] = std::from_chars(position, end, *field);
        if (error != std::errc())
            return std::nullopt;
        position = next;
    }
    return load;
}

} // namespace

std::string_view outcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Answered:
        return "answered";
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

ForwardResult refuse(RunOutcome outcome, ErrorKind kind, std::string message,
                     core::Duration retryAfter)
{
    ForwardResult result;
    result.outcome = outcome;
    result.refusal = decisions::Refusal{outcome, kind, std::move(message), retryAfter};
    return result;
}

core::HttpRequest encodeForward(ForwardRequest request, core::TimePoint now)
{
    const decisions::RequestInfo &info = request.info;
    const auto remaining =
            std::chrono::duration_cast<std::chrono::microseconds>(info.deadline - now);
    core::HttpRequest message;
    message.method = "POST";
    message.target = forwardPath;
    message.headers = std::move(request.request.headers);
    removeReserved(message.headers);
    message.headers.push_back({"amd-server", request.server.value});
    message.headers.push_back({"amd-service", info.service.value});
    message.headers.push_back({"amd-request-id", info.id.value});
    message.headers.push_back({"amd-id-origin", std::to_string(static_cast<int>(info.origin))});
    message.headers.push_back({"amd-slot", std::to_string(info.slot)});
    message.headers.push_back({"amd-key-hash", std::to_string(info.keyHash)});
    message.headers.push_back({"amd-brand", info.brand.value});
    message.headers.push_back({"amd-idempotent", info.idempotent ? "1" : "0"});
    message.headers.push_back({"amd-fingerprint", std::to_string(info.fingerprint)});
    message.headers.push_back(
            {"amd-remaining-us", std::to_string(std::max<std::int64_t>(remaining.count(), 0))});
    message.headers.push_back({"amd-owner-only", request.ownerOnly ? "1" : "0"});
    if (request.key)
        message.headers.push_back({"amd-key", *request.key});
    message.headers.push_back({"amd-method", std::move(request.request.method)});
    message.headers.push_back({"amd-target", std::move(request.request.target)});
    message.body = std::move(request.request.body);
    return message;
}

Result<ForwardRequest> decodeForward(core::HttpRequest message, core::TimePoint now)
{
    const Headers &headers = message.headers;
    BOOST_LEAF_AUTO(server, requireHeader(headers, "amd-server"));
    BOOST_LEAF_AUTO(service, requireHeader(headers, "amd-service"));
    BOOST_LEAF_AUTO(id, requireHeader(headers, "amd-request-id"));
    BOOST_LEAF_AUTO(origin, requireNumberAtMost(headers, "amd-id-origin", maxOrigin));
    BOOST_LEAF_AUTO(slot, requireNumberAtMost(headers, "amd-slot", maxSlot));
    BOOST_LEAF_AUTO(keyHash, requireNumber(headers, "amd-key-hash"));
    BOOST_LEAF_AUTO(brand, requireHeader(headers, "amd-brand"));
    BOOST_LEAF_AUTO(idempotent, requireNumberAtMost(headers, "amd-idempotent", 1));
    BOOST_LEAF_AUTO(fingerprint, requireNumber(headers, "amd-fingerprint"));
    BOOST_LEAF_AUTO(remaining,
                    requireNumberAtMost(headers, "amd-remaining-us", maxTimeMicroseconds));
    BOOST_LEAF_AUTO(ownerOnly, requireNumberAtMost(headers, "amd-owner-only", 1));
    BOOST_LEAF_AUTO(method, requireHeader(headers, "amd-method"));
    BOOST_LEAF_AUTO(target, requireHeader(headers, "amd-target"));

    ForwardRequest request;
    request.server = core::ServerName(std::move(server));
    request.info.id = core::RequestId(std::move(id));
    request.info.origin = static_cast<decisions::IdOrigin>(origin);
    request.info.service = core::ServiceName(std::move(service));
    request.info.slot = static_cast<core::SlotIndex>(slot);
    request.info.keyHash = keyHash;
    request.info.brand = core::BrandName(std::move(brand));
    request.info.idempotent = idempotent != 0;
    request.info.fingerprint = fingerprint;
    request.info.deadline = now + std::chrono::microseconds(remaining);
    request.ownerOnly = ownerOnly != 0;
    request.info.anyServer = !request.ownerOnly;
    if (const auto key = findHeader(headers, "amd-key"))
        request.key = std::string(*key);
    request.request.method = std::move(method);
    request.request.target = std::move(target);
    request.request.headers = std::move(message.headers);
    removeReserved(request.request.headers);
    request.request.body = std::move(message.body);
    return request;
}

core::HttpResponse encodeResult(ForwardResult result)
{
    core::HttpResponse message;
    if (result.outcome == RunOutcome::Answered) {
        message = std::move(result.response);
        removeReserved(message.headers); // A backend server must not be able to set our fields.
    } else {
        message = core::makeResponse(503, "", "text/plain");
        const auto retryAfter =
                std::chrono::duration_cast<std::chrono::milliseconds>(result.refusal.retryAfter);
        message.headers.push_back(
                {"amd-kind", std::string(core::errorKindName(result.refusal.kind))});
        message.headers.push_back({"amd-message", std::move(result.refusal.message)});
        message.headers.push_back({"amd-retry-after-ms", std::to_string(retryAfter.count())});
    }
    message.headers.push_back({"amd-outcome", std::string(outcomeName(result.outcome))});
    if (result.load)
        message.headers.push_back({"amd-load", formatLoad(*result.load)});
    return message;
}

Result<ForwardResult> decodeResult(core::HttpResponse message)
{
    BOOST_LEAF_AUTO(name, requireHeader(message.headers, "amd-outcome"));
    BOOST_LEAF_AUTO(outcome, parseOutcome(name));
    ForwardResult result;
    result.outcome = outcome;
    if (const auto load = findHeader(message.headers, "amd-load"))
        result.load = parseLoad(*load);
    if (outcome == RunOutcome::Answered) {
        removeReserved(message.headers);
        result.response = std::move(message);
        return result;
    }
    BOOST_LEAF_AUTO(kind, requireHeader(message.headers, "amd-kind"));
    BOOST_LEAF_AUTO(text, requireHeader(message.headers, "amd-message"));
    BOOST_LEAF_AUTO(
            retryAfter,
            requireNumberAtMost(message.headers, "amd-retry-after-ms", maxTimeMicroseconds / 1000));
    result.refusal = decisions::Refusal{outcome, parseErrorKind(kind), std::move(text),
                                        std::chrono::milliseconds(retryAfter)};
    return result;
}

} // namespace amaranthdale::daemon
