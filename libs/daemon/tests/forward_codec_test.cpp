// Tests of the encoding of forwarded requests. They guard against callers, backend servers or peers
// that forge or corrupt what a controller or an entry instance decides on.
#include "forward_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>
#include <sstream>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using core::ErrorKind;
using decisions::RunOutcome;
using std::chrono::microseconds;

namespace {

const core::TimePoint sentAt{std::chrono::hours(1)};
const core::TimePoint receivedAt{std::chrono::hours(7)};

// Fixed, so that failures are reproducible.
constexpr std::uint64_t seed = 20261204;

void checkProperty(const char *name, const std::function<void()> &property)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 300;
    const auto result =
            rc::detail::checkTestable(property, rc::detail::TestMetadata{name, name}, params);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), report.str());
}

ForwardRequest payment()
{
    ForwardRequest request;
    request.server = core::ServerName("till-1");
    request.info.service = core::ServiceName("till");
    request.info.id = core::RequestId("caller-7");
    request.info.origin = decisions::IdOrigin::Caller;
    request.info.slot = 12;
    request.info.keyHash = 99;
    request.info.fingerprint = 77;
    request.info.deadline = sentAt + std::chrono::seconds(2);
    request.key = "ines";
    request.ownerOnly = true;
    request.request = {"POST", "/till/pay", {{"X-Customer", "ines"}}, "amount=5"};
    return request;
}

core::Outcome<ForwardRequest> decoded(core::HttpRequest message)
{
    return core::attempt([&] { return decodeForward(std::move(message), receivedAt); });
}

core::Outcome<ForwardResult> decoded(core::HttpResponse message)
{
    return core::attempt([&] { return decodeResult(std::move(message)); });
}

template<class Message>
void checkProtocolError(Message message)
{
    const auto outcome = decoded(std::move(message));
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().kind == ErrorKind::Protocol);
}

ForwardRequest arbitraryRequest()
{
    ForwardRequest request = payment();
    request.info.id = core::RequestId(*rc::gen::string<std::string>());
    request.info.origin =
            *rc::gen::element(decisions::IdOrigin::Issued, decisions::IdOrigin::Caller,
                              decisions::IdOrigin::Instance);
    request.info.slot = *rc::gen::arbitrary<core::SlotIndex>();
    request.info.keyHash = *rc::gen::arbitrary<std::uint64_t>();
    request.info.brand = core::BrandName(*rc::gen::string<std::string>());
    request.info.idempotent = *rc::gen::arbitrary<bool>();
    request.info.fingerprint = *rc::gen::arbitrary<std::uint64_t>();
    request.info.deadline = sentAt + microseconds(*rc::gen::inRange(-1000, 60'000'000));
    request.ownerOnly = *rc::gen::arbitrary<bool>();
    request.info.anyServer = !request.ownerOnly;
    if (!*rc::gen::arbitrary<bool>())
        request.key = std::nullopt;
    request.request.body = *rc::gen::string<std::string>();
    return request;
}

} // namespace

TEST_CASE("a forwarded request is decoded unchanged, so that it runs as its caller sent it")
{
    checkProperty("round trip of requests", [] {
        const ForwardRequest sent = arbitraryRequest();
        const auto received = decoded(encodeForward(sent, sentAt));
        RC_ASSERT(static_cast<bool>(received));
        RC_ASSERT(received->server == sent.server);
        RC_ASSERT(received->info.service == sent.info.service);
        RC_ASSERT(received->info.id == sent.info.id);
        RC_ASSERT(received->info.origin == sent.info.origin);
        RC_ASSERT(received->info.slot == sent.info.slot);
        RC_ASSERT(received->info.keyHash == sent.info.keyHash);
        RC_ASSERT(received->info.brand == sent.info.brand);
        RC_ASSERT(received->info.idempotent == sent.info.idempotent);
        RC_ASSERT(received->info.anyServer == sent.info.anyServer);
        RC_ASSERT(received->info.fingerprint == sent.info.fingerprint);
        RC_ASSERT(received->key == sent.key);
        RC_ASSERT(received->ownerOnly == sent.ownerOnly);
        RC_ASSERT(received->request.method == sent.request.method);
        RC_ASSERT(received->request.target == sent.request.target);
        RC_ASSERT(received->request.headers == sent.request.headers);
        RC_ASSERT(received->request.body == sent.request.body);
        const core::Duration before = std::max(sent.info.deadline - sentAt, core::Duration());
        RC_ASSERT(received->info.deadline - receivedAt <= before);
    });
}

TEST_CASE("the remaining time is rounded down, so that forwarding never extends the deadline")
{
    ForwardRequest request = payment();
    request.info.deadline = sentAt + std::chrono::nanoseconds(1'999'999);
    const auto received = decoded(encodeForward(request, sentAt));
    REQUIRE(received);
    CHECK(received->info.deadline - receivedAt == microseconds(1999));
    request.info.deadline = sentAt - std::chrono::seconds(1);
    const auto late = decoded(encodeForward(request, sentAt));
    REQUIRE(late);
    CHECK(late->info.deadline == receivedAt);
}

TEST_CASE("a forwarded result is decoded unchanged, so that the caller gets the actual outcome")
{
    checkProperty("round trip of results", [] {
        const auto outcome = *rc::gen::element(RunOutcome::NotRun, RunOutcome::Unknown);
        const auto kind = *rc::gen::element(ErrorKind::Fenced, ErrorKind::Overloaded,
                                            ErrorKind::ConnectionLost, ErrorKind::Conflict,
                                            ErrorKind::Internal, ErrorKind::NotFound);
        const auto wait = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
        ForwardResult sent = refuse(outcome, kind, *rc::gen::string<std::string>(), wait);
        sent.load = decisions::DispatcherLoad{*rc::gen::arbitrary<unsigned>(),
                                              *rc::gen::arbitrary<unsigned>(),
                                              *rc::gen::arbitrary<unsigned>()};
        const auto received = decoded(encodeResult(sent));
        RC_ASSERT(static_cast<bool>(received));
        RC_ASSERT(received->outcome == outcome);
        RC_ASSERT(received->refusal.outcome == outcome);
        RC_ASSERT(received->refusal.kind == kind);
        RC_ASSERT(received->refusal.message == sent.refusal.message);
        RC_ASSERT(received->refusal.retryAfter == sent.refusal.retryAfter);
        RC_ASSERT(received->load.has_value());
        RC_ASSERT(received->load->inFlight == sent.load->inFlight);
        RC_ASSERT(received->load->limit == sent.load->limit);
        RC_ASSERT(received->load->queued == sent.load->queued);
    });
    ForwardResult answered;
    answered.outcome = RunOutcome::Answered;
    answered.response = core::makeResponse(201, "paid");
    const auto received = decoded(encodeResult(answered));
    REQUIRE(received);
    CHECK(received->outcome == RunOutcome::Answered);
    CHECK(received->response.status == 201);
    CHECK(received->response.headers == answered.response.headers);
}

TEST_CASE("a message with a missing field is a Protocol error, never a request with a default")
{
    const core::HttpRequest whole = encodeForward(payment(), sentAt);
    for (const core::Header &header : whole.headers) {
        if (!header.name.starts_with("amd-") || header.name == "amd-key")
            continue;
        CAPTURE(header.name);
        core::HttpRequest message = whole;
        std::erase(message.headers, header);
        checkProtocolError(std::move(message));
    }
    const core::HttpResponse refusal =
            encodeResult(refuse(RunOutcome::NotRun, ErrorKind::Fenced, "moved"));
    for (const char *name : {"amd-outcome", "amd-kind", "amd-message", "amd-retry-after-ms"}) {
        CAPTURE(name);
        core::HttpResponse message = refusal;
        std::erase_if(message.headers, [&](const core::Header &each) { return each.name == name; });
        checkProtocolError(std::move(message));
    }
}

TEST_CASE("numbers out of range are Protocol errors, never another slot or deadline")
{
    const std::pair<const char *, const char *> invalidHeaders[] = {
            {"amd-id-origin", "3"},
            {"amd-id-origin", "-1"},
            {"amd-slot", "4294967296"},
            {"amd-slot", "1x"},
            {"amd-slot", ""},
            {"amd-key-hash", "18446744073709551616"},
            {"amd-idempotent", "2"},
            {"amd-owner-only", "yes"},
            {"amd-remaining-us", "-5"},
            {"amd-remaining-us", "18446744073709551615"},
            {"amd-remaining-us", "9223372036854775807"},
    };
    for (const auto &header : invalidHeaders) {
        const auto name = header.first;
        const auto value = header.second;
        CAPTURE(name);
        CAPTURE(value);
        core::HttpRequest message = encodeForward(payment(), sentAt);
        core::setHeader(message.headers, name, value);
        checkProtocolError(std::move(message));
    }
    core::HttpResponse refusal =
            encodeResult(refuse(RunOutcome::NotRun, ErrorKind::Fenced, "moved"));
    core::setHeader(refusal.headers, "amd-retry-after-ms", "18446744073709551615");
    checkProtocolError(std::move(refusal));
}

TEST_CASE("a caller can't forge fields with amd- headers in any case")
{
    for (const char *prefix : {"amd-", "AMD-", "Amd-"}) {
        ForwardRequest request = payment();
        for (const char *field : {"server", "slot", "idempotent", "request-id", "key"})
            request.request.headers.push_back({std::string(prefix) + field, "1"});
        const auto received = decoded(encodeForward(request, sentAt));
        REQUIRE(received);
        CHECK(received->server == core::ServerName("till-1"));
        CHECK(received->info.slot == 12);
        CHECK_FALSE(received->info.idempotent);
        CHECK(received->info.id == core::RequestId("caller-7"));
        CHECK(received->key == "ines");
        CHECK(received->request.headers == payment().request.headers);
    }
}

TEST_CASE("a backend server can't turn its response into a refusal with amd- headers")
{
    ForwardResult answered;
    answered.outcome = RunOutcome::Answered;
    answered.response = core::makeResponse(200, "paid");
    answered.response.headers.push_back({"Amd-Outcome", "not-run"});
    answered.response.headers.push_back({"amd-kind", "fenced"});
    answered.response.headers.push_back({"amd-message", "x"});
    answered.response.headers.push_back({"amd-retry-after-ms", "0"});
    const auto received = decoded(encodeResult(std::move(answered)));
    REQUIRE(received);
    CHECK(received->outcome == RunOutcome::Answered);
}
