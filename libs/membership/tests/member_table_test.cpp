// Merging and expiry of member reports.
#include "amaranthdale/membership/member_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthdale;
using namespace amaranthdale::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const int seedSet = ::setenv("RC_PARAMS", "seed=20261204", 0);
const core::TimePoint start{std::chrono::hours(1)};

Member makeMember(const std::string &name, const std::string &dataCentre = "a", double cores = 1)
{
    return {core::InstanceName(name), core::DataCentreName(dataCentre), {"10.0.0.1", 7620}, cores};
}

MemberReport makeReport(const std::string &name, core::Duration age = {}, bool leaving = false)
{
    return {makeMember(name), age, leaving};
}

} // namespace

TEST_CASE("a member disappears once nobody has heard it for its lifetime")
{
    MemberTable table(seconds(9));
    table.merge({makeReport("x", seconds(2)), makeReport("y")}, start);
    CHECK(table.alive(start).size() == 2);
    CHECK(table.alive(start + milliseconds(6999)).size() == 2);
    CHECK(table.alive(start + seconds(7)).size() == 1);
    CHECK(table.alive(start + seconds(9)).empty());
    table.merge({makeReport("z", seconds(9))}, start);
    CHECK(table.alive(start).size() == 2);
}

TEST_CASE("the newer report wins, whatever the order of arrival")
{
    MemberTable table(seconds(9));
    table.merge({makeReport("x", seconds(1))}, start);
    table.merge({makeReport("x", seconds(3), true)}, start);
    CHECK(table.alive(start).size() == 1);
    table.merge({makeReport("x", milliseconds(500), true)}, start);
    CHECK(table.alive(start).empty());
    CHECK(table.reports(start).size() == 1);
    // An older heartbeat that arrives late doesn't bring it back, a restarted process does.
    table.merge({makeReport("x", seconds(1))}, start);
    CHECK(table.alive(start).empty());
    table.merge({makeReport("x")}, start + seconds(1));
    CHECK(table.alive(start + seconds(1)).size() == 1);
}

TEST_CASE("equal tables have the same version, whatever the ages")
{
    MemberTable a(seconds(9));
    MemberTable b(seconds(9));
    a.merge({makeReport("x"), makeReport("y", seconds(4))}, start);
    b.merge({makeReport("y"), makeReport("x", seconds(3))}, start);
    CHECK(a.version(start) == b.version(start));
    b.merge({makeReport("x", seconds(1), true)}, start);
    CHECK(a.version(start) != b.version(start));
    CHECK(a.version(start + seconds(5)) != a.version(start));
}

// With one age for the whole table, two relays that confirmed each other made both tables age until
// all members expired at once.
TEST_CASE("tables that confirm each other keep the members that are heard")
{
    MemberTable a(seconds(9));
    MemberTable b(seconds(9));
    core::TimePoint now = start;
    for (unsigned step = 0; step < 40; ++step, now += milliseconds(1500)) {
        a.merge({MemberReport{makeMember("x", "a"), {}, false}}, now);
        b.merge({MemberReport{makeMember("y", "b"), {}, false}}, now);
        if (step == 0) {
            a.merge(b.reports(now), now);
            b.merge(a.reports(now), now);
            continue;
        }
        REQUIRE(a.version(now) == b.version(now));
        a.confirm(b.largestAges(now), now);
        b.confirm(a.largestAges(now), now);
    }
    CHECK(a.alive(now).size() == 2);
    // One that is no longer heard expires in both.
    for (unsigned step = 0; step < 7; ++step, now += milliseconds(1500)) {
        a.merge({MemberReport{makeMember("x", "a"), {}, false}}, now);
        a.confirm(b.largestAges(now), now);
        b.merge(a.reports(now), now);
    }
    CHECK(a.alive(now).size() == 1);
    CHECK(b.alive(now).size() == 1);
}

TEST_CASE("contacts are the members with the most cores of each data centre")
{
    MemberTable table(seconds(9));
    std::vector<MemberReport> reports;
    for (const char *dataCentre : {"a", "b"}) {
        for (unsigned i = 0; i < 5; ++i)
            reports.push_back(
                    {makeMember(dataCentre + std::to_string(i), dataCentre, 1 + i), {}, false});
    }
    table.merge(reports, start);
    const auto contacts = table.contacts(2, start);
    REQUIRE(contacts.size() == 4);
    for (const MemberReport &report : contacts)
        CHECK(report.member.cores >= 4);
}

TEST_CASE("reports and ages are parsed back unchanged, and an odd line costs that line only")
{
    const std::vector<MemberReport> reports{makeReport("x", milliseconds(1200)),
                                            makeReport("y", {}, true)};
    std::size_t malformed = 0;
    CHECK(parseReports(formatReports(reports), malformed) == reports);
    CHECK(malformed == 0);
    const std::string odd = "1 alive nonsense\n-3 alive x|a|10.0.0.1:7620|1.000\n"
                            "99999999999999999999 alive x|a|10.0.0.1:7620|1.000\n"
                            "18446744073709551615 alive x|a|10.0.0.1:7620|1.000\n\n";
    const auto parsed = parseReports(odd + formatReports(reports), malformed);
    CHECK(malformed == 4);
    REQUIRE(parsed.size() == 3);
    CHECK(parsed[0].age == std::chrono::hours(24));
    const DataCentreAges ages{{core::DataCentreName("a"), milliseconds(10)},
                              {core::DataCentreName("b c"), milliseconds(0)}};
    CHECK(parseAges(formatAges(ages)) == ages);
    CHECK(!parseAges("x a\n"));
    CHECK(!parseAges("1 \n"));
    CHECK(rc::check("arbitrary bytes", [](const std::string &text) {
        std::size_t ignored = 0;
        parseReports(text, ignored);
        parseAges(text);
    }));
}

TEST_CASE("the table is bounded, whatever names a faulty process sends")
{
    MemberTable table(seconds(9));
    std::vector<MemberReport> reports;
    for (std::size_t i = 0; i <= MemberTable::maxEntries; ++i)
        reports.push_back(makeReport("n" + std::to_string(i)));
    table.merge(reports, start);
    CHECK(table.alive(start).size() == MemberTable::maxEntries);
}

TEST_CASE("a member never looks younger than its last heartbeat, over any chain of tables")
{
    const bool holds = rc::check("ages", [] {
        constexpr std::size_t tableCount = 4;
        std::vector<MemberTable> tables(tableCount, MemberTable(seconds(9)));
        core::TimePoint now = start;
        core::TimePoint lastHeard = start;
        tables[0].merge({makeReport("x")}, now);
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
                60,
                rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4),
                               rc::gen::inRange(0, 800), rc::gen::arbitrary<bool>()));
        for (const auto &[from, to, wait, heartbeat] : steps) {
            now += milliseconds(wait);
            if (heartbeat && wait > 600) {
                lastHeard = now;
                tables[static_cast<std::size_t>(from)].merge({makeReport("x")}, now);
            }
            auto &target = tables[static_cast<std::size_t>(to)];
            const auto &source = tables[static_cast<std::size_t>(from)];
            if (target.version(now) == source.version(now))
                target.confirm(source.largestAges(now), now);
            else
                target.merge(source.reports(now), now);
            for (const MemberTable &table : tables) {
                for (const MemberReport &report : table.reports(now))
                    RC_ASSERT(report.age >= now - lastHeard);
            }
        }
    });
    CHECK(holds);
}
