// Tests for the directory of backend servers: incarnations, delayed removals, drained data centres.
#include "amaranthdale/catalog/directory.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::catalog;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::TimePoint start{std::chrono::hours(1)};
const core::ServiceName stock("stock");

BackendServer server(const std::string &name, std::uint64_t incarnation = 1)
{
    BackendServer entry;
    entry.name = core::ServerName(name);
    entry.service = stock;
    entry.dataCentre = core::DataCentreName("east");
    entry.incarnation = incarnation;
    return entry;
}

} // namespace

TEST_CASE("a server that said that it is leaving gets no requests until it is restarted")
{
    Directory directory;
    directory.announce(server("a", 1));
    CHECK(directory.markLeaving(core::ServerName("a"), 1, start));
    CHECK_FALSE(directory.markLeaving(core::ServerName("a"), 1, start + seconds(1)));
    CHECK(directory.leavingSince(core::ServerName("a")) == start);
    CHECK_FALSE(directory.isUsable(core::ServerName("a"), 1));
    CHECK(directory.usable(stock).empty());

    // The registry may still say that it is ready, or remove the entry and list it again.
    directory.announce(server("a", 1));
    directory.remove(core::ServerName("a"), start);
    directory.announce(server("a", 1));
    CHECK_FALSE(directory.isUsable(core::ServerName("a"), 1));

    directory.announce(server("a", 2));
    CHECK(directory.isUsable(core::ServerName("a"), 2));
    CHECK_FALSE(directory.leavingSince(core::ServerName("a")));
    CHECK_FALSE(directory.markLeaving(core::ServerName("a"), 1, start));
    CHECK_FALSE(directory.markLeaving(core::ServerName("b"), 1, start));
}

TEST_CASE("a draining server gets no new requests but stays known")
{
    Directory directory;
    directory.announce(server("a"));
    BackendServer leaving = server("a");
    leaving.draining = true;
    CHECK(directory.announce(leaving) == DirectoryChange::Updated);
    CHECK(directory.usable(stock).empty());
    CHECK(directory.all(stock).size() == 1);
}

TEST_CASE("a delayed announcement of an earlier run does not replace the later run")
{
    Directory directory;
    directory.announce(server("a", 20));
    CHECK(directory.announce(server("a", 10)) == DirectoryChange::None);
    CHECK(directory.find(core::ServerName("a"))->incarnation == 20);
}

TEST_CASE("a lower incarnation, after the wall clock was set back, is accepted when repeated")
{
    Directory directory;
    directory.announce(server("a", 20));
    directory.announce(server("a", 10));
    CHECK(directory.announce(server("a", 10)) == DirectoryChange::Restarted);
    CHECK(directory.find(core::ServerName("a"))->incarnation == 10);
}

TEST_CASE("an entry that expired during an outage stays usable until its removal delay has passed")
{
    Directory directory;
    directory.announce(server("a"));
    directory.announce(server("b"));
    directory.outageEnded(start, start);
    directory.remove(core::ServerName("a"), start + milliseconds(100));
    directory.remove(core::ServerName("b"), start + milliseconds(100));
    CHECK(directory.usable(stock).size() == 2);
    directory.announce(server("a"));
    CHECK(directory.nextExpiry() == start + milliseconds(100) + Directory::removalDelay);
    CHECK(directory.expire(directory.nextExpiry()).size() == 1);
    CHECK(directory.usable(stock).size() == 1);
    CHECK(directory.nextExpiry() == core::TimePoint::max());
}

// Guards against a grace period that begins when the end of the outage is noticed, up to 3.7 s
// late: a server that left 3 s after the outage was still in use 2 s after its removal was
// acknowledged.
TEST_CASE(
        "a removal that is read late because the end of an outage was noticed late is not delayed "
        "beyond 2 s after its acknowledgement")
{
    const core::TimePoint acknowledged = start + seconds(3); // The registry was back at `start`.
    const core::TimePoint noticed = start + milliseconds(3700);
    Directory directory;
    directory.announce(server("a"));
    directory.outageEnded(noticed, start - milliseconds(100));
    directory.remove(core::ServerName("a"), noticed);
    directory.expire(acknowledged + milliseconds(1500));
    CHECK(directory.usable(stock).empty());
}

TEST_CASE("without an outage a server is removed immediately")
{
    Directory directory;
    directory.announce(server("a"));
    CHECK(directory.remove(core::ServerName("a"), start) == DirectoryChange::Removed);
    CHECK(directory.usable(stock).empty());
}

TEST_CASE("a full read of the registry removes servers that it does not contain")
{
    Directory directory;
    directory.announce(server("a"));
    directory.announce(server("b"));
    directory.retain({core::ServerName("b")}, start);
    CHECK(directory.all(stock).size() == 1);
}

TEST_CASE(
        "servers of a drained data centre get no requests and are cold when it returns to service")
{
    Directory directory;
    directory.announce(server("a"));
    directory.setDrained({core::DataCentreName("east")}, start, seconds(3));
    CHECK(directory.usable(stock).empty());
    CHECK(!directory.isUsable(core::ServerName("a"), 1));
    directory.setDrained({}, start + seconds(5), seconds(3));
    REQUIRE(directory.usable(stock).size() == 1);
    CHECK(directory.usable(stock).front().coldUntil == start + seconds(8));
}
