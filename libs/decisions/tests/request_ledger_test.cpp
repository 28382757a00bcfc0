// Tests of the request ledger. They guard against a second run of a non-idempotent request and a
// false NotRun.
#include "request_fixtures.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;
using core::LogOffset;

namespace {

RequestLedger ledgerFrom(std::uint64_t offset, bool initial, LedgerOptions options = {})
{
    RequestLedger ledger(options);
    ledger.replayed(LogOffset(offset), start);
    ledger.startSlot(0, LogOffset(offset), initial, start);
    return ledger;
}

LedgerVerdict verdictOf(const RequestLedger &ledger, const RequestInfo &request,
                        core::TimePoint now = start)
{
    return ledger.find(request, now).verdict;
}

} // namespace

TEST_CASE("an issued id parses back to its offset, and similar texts are rejected")
{
    RandomSource random(1);
    const std::string id = makeIssuedId(LogOffset(1234), random).value;
    CHECK(parseIssuedId(id) == LogOffset(1234));
    CHECK(makeIssuedId(LogOffset(1234), random).value != id);
    const std::string digits(32, 'a');
    CHECK(parseIssuedId("amd-0-" + digits) == LogOffset(0));
    for (const std::string &text :
         {std::string(), std::string("amd-"), "amd--" + digits, "amd-01-" + digits,
          "amd--1-" + digits, "amd-+1-" + digits, "amd-1-" + digits + "a",
          "amd-1-" + digits.substr(1), "amd-1-" + std::string(32, 'A'),
          "amd-18446744073709551616-" + digits, "AMD-1-" + digits, " amd-1-" + digits,
          "amd-1x-" + digits, "amd-1-" + std::string(32, 'g')})
        CHECK_FALSE(parseIssuedId(text));
}

TEST_CASE("a resend of a payment waits for the first run and then gets its response")
{
    RequestLedger ledger = ledgerFrom(5, true);
    const RequestInfo request = payment(issuedId(5, 1), IdOrigin::Issued);
    CHECK(ledger.begin(request, 9, start).verdict == LedgerVerdict::New);
    const LedgerLookup second = ledger.begin(request, 10, start);
    CHECK(second.verdict == LedgerVerdict::InFlight);
    CHECK(second.owner == 9);
    ledger.complete(request, RunOutcome::Answered, responseOf("paid"), start);
    const LedgerLookup third = ledger.find(request, start);
    CHECK(third.verdict == LedgerVerdict::Answered);
    CHECK(third.response->body == "paid");
}

TEST_CASE("a payment whose response was lost isn't sent again; one that did not run may be")
{
    RequestLedger ledger = ledgerFrom(5, true);
    const RequestInfo request = payment(issuedId(5, 1), IdOrigin::Issued);
    ledger.begin(request, 1, start);
    ledger.complete(request, RunOutcome::NotRun, nullptr, start);
    CHECK(ledger.begin(request, 2, start).verdict == LedgerVerdict::New);
    ledger.complete(request, RunOutcome::Unknown, nullptr, start);
    CHECK(verdictOf(ledger, request) == LedgerVerdict::Unknown);
}

TEST_CASE("ids that an earlier controller may have run are unknown after a takeover")
{
    const RequestLedger ledger = ledgerFrom(20, false);
    CHECK(verdictOf(ledger, payment(issuedId(19, 1), IdOrigin::Issued)) == LedgerVerdict::Unknown);
    CHECK(verdictOf(ledger, payment(issuedId(20, 1), IdOrigin::Issued)) == LedgerVerdict::New);
    CHECK(verdictOf(ledger, payment(issuedId(19, 1), IdOrigin::Instance))
          == LedgerVerdict::BeforeKnownSince);
    CHECK(verdictOf(ledger, payment(issuedId(20, 1), IdOrigin::Instance)) == LedgerVerdict::New);
    const RequestInfo chosen = payment("order-1", IdOrigin::Caller);
    CHECK(verdictOf(ledger, chosen) == LedgerVerdict::Unknown);
    CHECK(verdictOf(ledger, chosen, start + minutes(10) - milliseconds(1))
          == LedgerVerdict::Unknown);
    CHECK(verdictOf(ledger, chosen, start + minutes(10)) == LedgerVerdict::New);
}

TEST_CASE("a replaced controller doesn't run an id that is new to its successor")
{
    // The successor's assignment is at offset 21; this instance has only replayed 20.
    const RequestLedger replaced = ledgerFrom(20, true);
    CHECK(verdictOf(replaced, payment(issuedId(21, 1), IdOrigin::Issued))
          == LedgerVerdict::OffsetNotReplayed);
    CHECK(verdictOf(replaced, payment(issuedId(21, 1), IdOrigin::Instance))
          == LedgerVerdict::OffsetNotReplayed);
}

TEST_CASE("an issued id declared as chosen by the caller is still treated as issued")
{
    const RequestLedger ledger = ledgerFrom(20, false);
    CHECK(verdictOf(ledger, payment(issuedId(3, 1), IdOrigin::Caller), start + minutes(20))
          == LedgerVerdict::Unknown);
}

TEST_CASE("two brands that choose the same id don't get each other's responses")
{
    RequestLedger ledger = ledgerFrom(5, true);
    RequestInfo first = payment("1", IdOrigin::Caller);
    first.brand = core::BrandName("a");
    RequestInfo second = first;
    second.brand = core::BrandName("b");
    ledger.begin(first, 1, start);
    ledger.complete(first, RunOutcome::Answered, responseOf("for a"), start);
    CHECK(verdictOf(ledger, second) == LedgerVerdict::New);
    RequestInfo otherBody = first;
    otherBody.fingerprint = 78;
    CHECK(verdictOf(ledger, otherBody) == LedgerVerdict::FingerprintMismatch);
}

TEST_CASE("an issued id is unknown, not new, after its entry expires")
{
    RequestLedger ledger = ledgerFrom(5, true);
    const RequestInfo request = payment(issuedId(5, 1), IdOrigin::Issued);
    ledger.begin(request, 1, start);
    ledger.complete(request, RunOutcome::Answered, responseOf("paid"), start);
    ledger.replayed(LogOffset(6), start + seconds(1));
    ledger.expire(start + minutes(5));
    CHECK(ledger.size() == 0);
    CHECK(ledger.storedBytes() == 0);
    CHECK(ledger.knownSince(0) == LogOffset(6));
    CHECK(verdictOf(ledger, request, start + minutes(5)) == LedgerVerdict::Unknown);
    CHECK(verdictOf(ledger, payment(issuedId(6, 1), IdOrigin::Issued)) == LedgerVerdict::New);
}

TEST_CASE(
        "recent ids stay known while the log doesn't advance, and the ledger asks for a new offset")
{
    LedgerOptions options;
    options.maxEntries = 1;
    RequestLedger ledger = ledgerFrom(5, true, options);
    const RequestInfo request = payment(issuedId(5, 1), IdOrigin::Issued);
    ledger.begin(request, 1, start);
    ledger.complete(request, RunOutcome::Unknown, nullptr, start);
    CHECK_FALSE(ledger.needsNewOffset(start));
    const core::TimePoint later = start + minutes(30);
    ledger.expire(later);
    CHECK(verdictOf(ledger, request, later) == LedgerVerdict::Unknown);
    CHECK(ledger.needsNewOffset(later));
    // Entries expire only once the next offset has been replayed for the retention period.
    ledger.replayed(LogOffset(6), later);
    ledger.expire(later);
    CHECK(ledger.knownSince(0) == LogOffset(5));
    ledger.expire(later + minutes(3));
    CHECK(ledger.knownSince(0) == LogOffset(6));
}

TEST_CASE("a full ledger refuses new ids and evicts no entry for them")
{
    LedgerOptions options;
    options.maxEntries = 2;
    RequestLedger ledger = ledgerFrom(5, true, options);
    const RequestInfo first = payment("1", IdOrigin::Caller);
    ledger.begin(first, 1, start);
    ledger.begin(payment("2", IdOrigin::Caller), 2, start);
    CHECK(ledger.begin(payment("3", IdOrigin::Caller), 3, start).verdict == LedgerVerdict::Full);
    CHECK(verdictOf(ledger, first) == LedgerVerdict::InFlight);
}

TEST_CASE("of a response that is too large only the status is stored, never a truncated body")
{
    LedgerOptions options;
    options.maxStoredBodyBytes = 3;
    RequestLedger ledger = ledgerFrom(5, true, options);
    const RequestInfo request = payment("1", IdOrigin::Caller);
    ledger.begin(request, 1, start);
    ledger.complete(request, RunOutcome::Answered, responseOf("long"), start);
    const LedgerLookup lookup = ledger.find(request, start);
    CHECK(lookup.verdict == LedgerVerdict::Answered);
    CHECK_FALSE(lookup.response->bodyStored);
    CHECK(lookup.response->body.empty());
}

TEST_CASE("a planned move transfers the ledger, with ids in flight as unknown")
{
    RequestLedger source = ledgerFrom(5, true);
    const RequestInfo answered = payment(issuedId(5, 1), IdOrigin::Issued);
    const RequestInfo inFlight = payment("open", IdOrigin::Caller);
    source.begin(answered, 1, start);
    source.complete(answered, RunOutcome::Answered, responseOf("paid"), start);
    source.begin(inFlight, 2, start);

    RequestLedger target = ledgerFrom(30, false);
    REQUIRE(target.importSlot(source.exportSlot(0, start), start));
    CHECK(verdictOf(target, answered) == LedgerVerdict::Answered);
    CHECK(verdictOf(target, inFlight) == LedgerVerdict::Unknown);
    CHECK(verdictOf(target, payment(issuedId(6, 1), IdOrigin::Issued)) == LedgerVerdict::New);
    CHECK(verdictOf(target, payment("fresh", IdOrigin::Caller)) == LedgerVerdict::New);
}

TEST_CASE("an import that doesn't fit is rejected as a whole, and the slot keeps its offset")
{
    RequestLedger source = ledgerFrom(5, true);
    source.begin(payment("1", IdOrigin::Caller), 1, start);
    source.begin(payment("2", IdOrigin::Caller), 2, start);
    LedgerOptions smallOptions;
    smallOptions.maxEntries = 1;
    RequestLedger target = ledgerFrom(30, false, smallOptions);
    CHECK_FALSE(target.importSlot(source.exportSlot(0, start), start));
    CHECK(target.size() == 0);
    CHECK(verdictOf(target, payment("1", IdOrigin::Caller)) == LedgerVerdict::Unknown);
}

TEST_CASE("a late import doesn't make an id new whose entry expired here since the start")
{
    const RequestLedger source = ledgerFrom(5, true);
    RequestLedger target = ledgerFrom(30, false);
    const RequestInfo request = payment(issuedId(30, 1), IdOrigin::Issued);
    target.begin(request, 1, start);
    target.complete(request, RunOutcome::Answered, responseOf("paid"), start);
    target.replayed(LogOffset(31), start + seconds(1));
    const core::TimePoint later = start + minutes(5);
    target.expire(later);
    REQUIRE(target.importSlot(source.exportSlot(0, start), later));
    CHECK(verdictOf(target, request, later) == LedgerVerdict::Unknown);
}
