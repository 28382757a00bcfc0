// Entries of servers that arrive late, repeatedly or not at all: an older one never undoes a newer.
#include "amaranthdale/catalog/directory.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace amaranthdale;
using namespace amaranthdale::catalog;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::TimePoint start{std::chrono::hours(1)};
const core::ServerName name("a");
const core::ServiceName stock("stock");

BackendServer entry(std::uint64_t incarnation, std::uint64_t sequence, bool draining = false)
{
    BackendServer server;
    server.name = name;
    server.service = stock;
    server.dataCentre = core::DataCentreName("east");
    server.incarnation = incarnation;
    server.sequence = sequence;
    server.draining = draining;
    return server;
}

} // namespace

// Guards against a heartbeat that the registry executes late, after the server has said that it
// drains: requests reached it until it exited with them.
TEST_CASE("a late entry doesn't put a draining server back into use")
{
    Directory directory;
    directory.announce(entry(1, 4), start);
    directory.announce(entry(1, 9, true), start + seconds(4));
    CHECK(directory.announce(entry(1, 6), start + seconds(6)) == DirectoryChange::Outdated);
    CHECK(directory.usable(stock).empty());
    CHECK(directory.announce(entry(1, 10, true), start + seconds(7)) == DirectoryChange::Updated);
}

TEST_CASE("a late entry doesn't hide that a server has become cold")
{
    Directory directory;
    BackendServer cold = entry(1, 7);
    cold.coldUntil = start + seconds(10);
    directory.announce(cold, start);
    CHECK(directory.announce(entry(1, 6), start + seconds(1)) == DirectoryChange::Outdated);
    CHECK(directory.find(name)->coldUntil == start + seconds(10));
}

TEST_CASE("a late entry doesn't bring back a server that has left")
{
    Directory directory;
    directory.announce(entry(2, 9, true), start);
    directory.remove(name, start);
    SUBCASE("of the same incarnation")
    {
        CHECK(directory.announce(entry(2, 8), start + seconds(2)) == DirectoryChange::Outdated);
    }
    SUBCASE("of an earlier incarnation, read twice")
    {
        CHECK(directory.announce(entry(1, 30), start + seconds(2)) == DirectoryChange::None);
        CHECK(directory.announce(entry(1, 30), start + seconds(3)) == DirectoryChange::None);
    }
    CHECK(directory.size() == 0);
}

TEST_CASE("a late entry doesn't cancel the delayed removal of a server")
{
    Directory directory;
    directory.announce(entry(1, 9), start);
    directory.outageEnded(start, start);
    directory.remove(name, start);
    directory.announce(entry(1, 8), start + milliseconds(100));
    CHECK(directory.expire(start + Directory::removalDelay).size() == 1);
}

TEST_CASE("a server that registers again after its entry lapsed is used")
{
    Directory directory;
    directory.announce(entry(1, 9), start);
    directory.remove(name, start);
    CHECK(directory.announce(entry(1, 14), start + seconds(2)) == DirectoryChange::Added);
    CHECK(directory.isUsable(name, 1));
}

TEST_CASE("a restarted server counts its entries anew")
{
    Directory directory;
    directory.announce(entry(1, 900, true), start);
    CHECK(directory.announce(entry(2, 1), start) == DirectoryChange::Restarted);
    CHECK(directory.isUsable(name, 2));
    CHECK(directory.announce(entry(2, 0), start) == DirectoryChange::Outdated);
}

TEST_CASE("a lower incarnation, after the wall clock was set back, is accepted once it goes on for "
          "longer than a write can be late")
{
    Directory directory;
    directory.announce(entry(20, 4), start);
    CHECK(directory.announce(entry(10, 1), start + seconds(1)) == DirectoryChange::None);
    CHECK(directory.announce(entry(10, 2), start + seconds(2)) == DirectoryChange::None);
    CHECK(directory.announce(entry(10, 3), start + Directory::maxWriteDelay)
          == DirectoryChange::Restarted);
    CHECK(directory.isUsable(name, 10));
}

// Bad input must not exclude a server for good.
TEST_CASE("a sequence that stays low is taken for a new count once no write can be that late")
{
    Directory directory;
    directory.announce(entry(1, 1'000'000'000'000'000), start);
    CHECK(directory.announce(entry(1, 8, true), start + seconds(29)) == DirectoryChange::Outdated);
    CHECK(directory.announce(entry(1, 9, true), start + Directory::maxWriteDelay)
          == DirectoryChange::Updated);
    CHECK(directory.usable(stock).empty());
}

TEST_CASE("entries without a sequence are taken in the order in which they arrive")
{
    Directory directory;
    BackendServer unnumbered = entry(1, 0, true);
    unnumbered.sequence.reset();
    directory.announce(entry(1, 5), start);
    CHECK(directory.announce(unnumbered, start) == DirectoryChange::Updated);
    CHECK(directory.usable(stock).empty());
    CHECK(directory.announce(entry(1, 2), start) == DirectoryChange::Updated);
}

TEST_CASE("what is remembered of removed servers is bounded, and of known ones complete")
{
    Directory directory;
    directory.announce(entry(1, 9, true), start - seconds(1));
    for (std::size_t index = 0; index < 2 * Directory::maxRemovedServers; ++index) {
        BackendServer server = entry(1, 5);
        server.name = core::ServerName("removed-" + std::to_string(index));
        directory.announce(server, start + milliseconds(index));
        directory.remove(server.name, start + milliseconds(index));
    }
    CHECK(directory.announce(entry(1, 8), start + seconds(9)) == DirectoryChange::Outdated);
    BackendServer last = entry(1, 4);
    last.name = core::ServerName("removed-" + std::to_string(2 * Directory::maxRemovedServers - 1));
    CHECK(directory.announce(last, start + seconds(9)) == DirectoryChange::Outdated);
    last.name = core::ServerName("removed-0");
    CHECK(directory.announce(last, start + seconds(9)) == DirectoryChange::Added); // Forgotten.
}

// A server runs through three incarnations; each writes that it is cold, ready, then draining. Any
// write may be lost, late by up to 6 s, or read again; entries may lapse.
TEST_CASE("random late, repeated and lost writes never lead back to an older state")
{
    struct Write
    {
        core::TimePoint readAt{};
        BackendServer server;
    };
    constexpr unsigned runs = 2000;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        boost::random::mt19937 random(seed);
        const auto draw = [&random](unsigned count) {
            return boost::random::uniform_int_distribution<unsigned>(0, count - 1)(random);
        };
        std::vector<Write> writes;
        core::TimePoint time = start;
        for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
            const unsigned count = 2 + draw(6);
            for (std::uint64_t sequence = 1; sequence <= count; ++sequence) {
                time += milliseconds(870);
                BackendServer server = entry(incarnation, sequence, sequence + 1 >= count);
                server.coldUntil = sequence < 3 ? start + std::chrono::hours(1) : start;
                const unsigned fate = draw(10);
                if (fate == 0)
                    continue; // Lost.
                const bool late = fate < 4;
                writes.push_back({late ? time + milliseconds(draw(6000)) : time, server});
                if (fate == 9)
                    writes.push_back({time + milliseconds(draw(6000)), server}); // Read again.
            }
        }
        std::stable_sort(writes.begin(), writes.end(),
                         [](const Write &a, const Write &b) { return a.readAt < b.readAt; });
        Directory directory;
        std::pair<std::uint64_t, std::uint64_t> newest{0, 0};
        for (const Write &write : writes) {
            const std::pair order{write.server.incarnation, *write.server.sequence};
            if (draw(8) == 0)
                directory.remove(name, write.readAt);
            const bool wasKnown = directory.find(name) != nullptr;
            directory.announce(write.server, write.readAt);
            const BackendServer *known = directory.find(name);
            if (order < newest) {
                CHECK((known != nullptr) == wasKnown);
                if (known == nullptr)
                    continue;
            }
            newest = std::max(newest, order);
            REQUIRE(known != nullptr);
            CHECK(std::pair(known->incarnation, *known->sequence) == newest);
        }
    }
}
