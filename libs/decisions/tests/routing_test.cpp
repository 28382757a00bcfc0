// Tests of routing. Each guards against sending a request to the wrong server, or a retry to a
// server that has no record of the first attempt.
#include "request_fixtures.h"

#include "amaranthdale/core/hash.h"
#include "amaranthdale/decisions/routing.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;
using core::ErrorKind;
using core::LogOffset;

namespace {

constexpr core::SlotIndex slotCount = 16;

ServiceState serviceWith(ValueSource key)
{
    ServiceState service;
    service.document.service = core::ServiceName("till");
    service.document.key = std::move(key);
    service.document.brand = {ValueSource::Kind::Header, "X-Brand", 0};
    service.document.hashSlots = slotCount;
    service.document.hashSeed = 3;
    service.slots.resize(slotCount);
    return service;
}

ServiceState keyedByHeader()
{
    return serviceWith({ValueSource::Kind::Header, "X-Customer", 0});
}

core::Outcome<RoutedRequest> route(const ServiceState &service, const core::HttpRequest &request,
                                   RandomSource &random)
{
    return core::attempt(
            [&] { return routeRequest(service, request, LogOffset(9), random, start); });
}

core::Outcome<RoutedRequest> route(const ServiceState &service, const core::HttpRequest &request)
{
    RandomSource random(1);
    return route(service, request, random);
}

core::HttpRequest post(std::string target, core::Headers headers)
{
    return {"POST", std::move(target), std::move(headers), "amount=5"};
}

} // namespace

TEST_CASE("the key is taken from the place that the document configures, so that it reaches its "
          "owner")
{
    const auto byHeader =
            route(keyedByHeader(), post("/till/pay/8", {{"x-customer", "ines"}, {"X-Brand", "b"}}));
    REQUIRE(byHeader);
    CHECK(byHeader->key == "ines");
    CHECK(byHeader->ownerOnly);
    CHECK_FALSE(byHeader->info.anyServer);
    CHECK(byHeader->info.slot == core::slotForKey("ines", 3, slotCount));
    CHECK(byHeader->info.brand == core::BrandName("b"));

    const ServiceState bySegment = serviceWith({ValueSource::Kind::PathSegment, "", 1});
    const auto segment = route(bySegment, post("/till/items/7?full=1", {}));
    REQUIRE(segment);
    CHECK(segment->key == "7");
}

TEST_CASE(
        "a request without its key is refused, naming where to set it, and never routed at random")
{
    const auto noHeader = route(keyedByHeader(), post("/till/pay", {}));
    REQUIRE_FALSE(noHeader);
    CHECK(noHeader.error().kind == ErrorKind::InvalidArgument);
    CHECK(noHeader.error().message.find("X-Customer") != std::string::npos);
    CHECK_FALSE(route(keyedByHeader(), post("/till/pay", {{"X-Customer", ""}})));

    const ServiceState bySegment = serviceWith({ValueSource::Kind::PathSegment, "", 1});
    CHECK_FALSE(route(bySegment, post("/till/items", {})));
    CHECK_FALSE(route(bySegment, post("/till/items/?key=7", {})));
    CHECK_FALSE(route(bySegment, post("/till/items//", {{"X-Customer", "7"}})));
}

TEST_CASE("the origin of an id is recognised, so that a retry is never taken for a first attempt")
{
    const core::Header key{"X-Customer", "ines"};
    const auto made = route(keyedByHeader(), post("/till/pay", {key}));
    REQUIRE(made);
    CHECK(made->info.origin == IdOrigin::Instance);
    CHECK(parseIssuedId(made->info.id.value) == LogOffset(9));

    const std::string issued = issuedId(4, 1);
    const auto given =
            route(keyedByHeader(), post("/till/pay", {key, {"Idempotency-Key", issued}}));
    REQUIRE(given);
    CHECK(given->info.origin == IdOrigin::Issued);
    CHECK(given->info.id.value == issued);

    // An id that only resembles an issued one says nothing about its age.
    const auto chosen =
            route(keyedByHeader(), post("/till/pay", {key, {"Idempotency-Key", "amd-4-xyz"}}));
    REQUIRE(chosen);
    CHECK(chosen->info.origin == IdOrigin::Caller);
}

TEST_CASE("an id that is too long or not printable is refused, as it would fill a ledger or break "
          "a header")
{
    for (const std::string &id : {std::string(), std::string(129, 'a'), std::string("two words"),
                                  std::string("line\nbreak"), std::string("caf\xc3\xa9")}) {
        const auto routed =
                route(keyedByHeader(),
                      post("/till/pay", {{"X-Customer", "ines"}, {"Idempotency-Key", id}}));
        REQUIRE_FALSE(routed);
        CHECK(routed.error().kind == ErrorKind::InvalidArgument);
    }
    CHECK(route(keyedByHeader(),
                post("/till/pay",
                     {{"X-Customer", "ines"}, {"Idempotency-Key", std::string(128, 'a')}})));
}

TEST_CASE("X-Timeout-Ms can shorten the document's request timeout but not extend it")
{
    const auto deadlineFor = [](const std::string &text) -> std::optional<core::Duration> {
        const auto routed =
                route(keyedByHeader(),
                      post("/till/pay", {{"X-Customer", "ines"}, {"X-Timeout-Ms", text}}));
        if (!routed)
            return std::nullopt;
        return routed->info.deadline - start;
    };
    CHECK(deadlineFor("150") == milliseconds(150));
    CHECK(deadlineFor("2000") == seconds(2));
    CHECK(deadlineFor("4294967295") == seconds(2));
    for (const char *wrong : {"0", "-1", "", "5s", " 5", "1.5", "4294967296"})
        CHECK_FALSE(deadlineFor(wrong).has_value());
    const auto unnamed = route(keyedByHeader(), post("/till/pay", {{"X-Customer", "ines"}}));
    REQUIRE(unnamed);
    CHECK(unnamed->info.deadline == start + seconds(2));
}

TEST_CASE("a non-idempotent request of a service without keys is routed by its id, so that a retry "
          "through another instance reaches the server that ran the first attempt")
{
    const ServiceState service = serviceWith({});
    RandomSource firstInstance(1);
    RandomSource secondInstance(2);
    const core::HttpRequest request = post("/till/pay", {{"Idempotency-Key", issuedId(4, 1)}});
    const auto sent = route(service, request, firstInstance);
    const auto resent = route(service, request, secondInstance);
    REQUIRE(sent);
    REQUIRE(resent);
    CHECK(sent->ownerOnly);
    CHECK_FALSE(sent->info.anyServer);
    CHECK(sent->info.slot == core::slotForKey(issuedId(4, 1), 3, slotCount));
    CHECK(resent->info.slot == sent->info.slot);
    CHECK(resent->info.fingerprint == sent->info.fingerprint);

    const auto read = route(service, {"GET", "/till/offers", {}, ""}, firstInstance);
    REQUIRE(read);
    CHECK(read->info.anyServer);
    CHECK_FALSE(read->key.has_value());
    CHECK_FALSE(ownerFor(service, *read).has_value());
}

TEST_CASE("the owner of a hot key precedes that of its slot, and an unassigned slot has no owner")
{
    ServiceState service = keyedByHeader();
    const auto routed = route(service, post("/till/pay", {{"X-Customer", "ines"}}));
    REQUIRE(routed);
    CHECK_FALSE(ownerFor(service, *routed).has_value());
    service.slots[routed->info.slot].server = core::ServerName("till-1");
    CHECK(ownerFor(service, *routed) == core::ServerName("till-1"));
    service.hotKeys["ines"].server = core::ServerName("till-2");
    CHECK(ownerFor(service, *routed) == core::ServerName("till-2"));
}

TEST_CASE("a target without a service is refused, and a query isn't part of the service name")
{
    const auto nameIn = [](std::string_view target) {
        return core::attempt([&] { return serviceOf(target); });
    };
    CHECK(nameIn("/till/pay/1").value() == core::ServiceName("till"));
    CHECK(nameIn("/till?x=/a").value() == core::ServiceName("till"));
    for (const char *wrong : {"", "till/pay", "/", "//pay", "/?till", "*"})
        CHECK_FALSE(nameIn(wrong));
}

TEST_CASE("a request can be routed, dispatched and completed with the decision classes alone, so "
          "that another front end can use them without any transport")
{
    ServiceState service = serviceWith({});
    DispatcherOptions options;
    options.server = core::ServerName("till-1");
    ServerDispatcher dispatcher(std::move(options),
                                std::make_unique<AdaptiveLimit>(LimitBounds{1, 4}, start),
                                makeCrashFilter());
    dispatcher.replayed(LogOffset(9), start);
    for (core::SlotIndex slot = 0; slot < slotCount; ++slot) {
        service.slots[slot].server = core::ServerName("till-1");
        dispatcher.startSlot(slot, LogOffset(5), true, start);
    }
    dispatcher.authorityGained(start);

    const auto routed = route(service, post("/till/pay", {{"Idempotency-Key", issuedId(7, 1)}}));
    REQUIRE(routed);
    REQUIRE(ownerFor(service, *routed) == core::ServerName("till-1"));
    const Arrival sent = dispatcher.arrive(routed->info, start);
    REQUIRE(findAction<SendRequest>(sent.actions));
    CHECK(dispatcher.completed(sent.ticket, answeredWith("paid"), start).empty());
    const Arrival resent = dispatcher.arrive(routed->info, start);
    REQUIRE(findAction<ReturnStoredResponse>(resent.actions));
    CHECK(findAction<ReturnStoredResponse>(resent.actions)->response->body == "paid");
    CHECK(dispatcher.idle());
}
