// Tests of PeerDirectory. They guard against losing known peers and starting from an old state.
#include "daemon_fixtures.h"
#include "peer_directory.h"

#include "amaranthdale/clock/manual_clock.h"
#include "amaranthdale/decisions/authority_policy.h"
#include "amaranthdale/decisions/placement.h"
#include "amaranthdale/log/capturing_log.h"
#include "amaranthdale/records/state_codec.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::daemon;
using namespace amaranthdale::daemon::test;
using core::Error;
using core::ErrorKind;
using core::LogOffset;

namespace {

logclient::ListedInstance listedInstance(const std::string &name, std::uint16_t port)
{
    return {{core::InstanceName(name), core::Incarnation(port)},
            core::DataCentreName("gasabo"),
            {"127.0.0.1", port},
            false};
}

class FakeList : public logclient::InstanceList
{
public:
    using Listed = std::vector<logclient::ListedInstance>;
    using DoneHandler = std::function<void(core::Outcome<core::Success>)>;

    void fetch(core::Duration, std::function<void(core::Outcome<Listed>)> handler) override
    {
        ++this->fetches;
        handler(this->listed);
    }
    void announce(const logclient::ListedInstance &entry, core::Duration,
                  DoneHandler handler) override
    {
        this->announced.push_back(entry);
        handler(this->announceResult);
    }
    void withdraw(const core::InstanceName &, core::Duration, DoneHandler handler) override
    {
        handler(Error{ErrorKind::Unavailable, "list is down"});
    }

    core::Outcome<Listed> listed =
            Listed{listedInstance("i1", 1), listedInstance("i2", 2), listedInstance("i3", 3)};
    core::Outcome<core::Success> announceResult = core::Success();
    std::vector<logclient::ListedInstance> announced;
    int fetches = 0;
};

struct Fixture
{
    clock::ManualClock clock;
    FakeList list;
    FakeSender peers;
    log::CapturingLog log;
    Tables tables{
            decisions::OwnershipSettings{},
            std::make_unique<decisions::NamedSuccessorAuthority>(decisions::OwnershipTimings{}),
            std::make_unique<decisions::RendezvousPlacement>(), this->clock.now()};
    std::size_t listedCount = 0; // Size of the last list passed to the handler.
    PeerDirectory directory{this->list,
                            this->clock,
                            this->tables,
                            this->log,
                            this->peers,
                            listedInstance("i1", 1),
                            [this](const auto &listed) { listedCount = listed.size(); }};

    std::size_t known() const
    {
        return this->tables.membership.with(
                [](const MembershipTable &table) { return table.listed.size(); });
    }
};

std::string stateAt(std::uint64_t offset)
{
    decisions::ClusterState state;
    state.skip(LogOffset(offset));
    return records::encodeState(state);
}

} // namespace

TEST_CASE("an outage of the instance list keeps the last known peers, and a failed announcement is "
          "retried")
{
    Fixture fixture;
    fixture.list.announceResult = Error{ErrorKind::Unavailable, "list is down"};
    fixture.directory.start();
    CHECK(fixture.known() == 3);
    CHECK(fixture.listedCount == 3);
    fixture.list.listed = Error{ErrorKind::Unavailable, "list is down"};
    fixture.clock.advance(seconds(2));
    CHECK(fixture.known() == 3);
    CHECK(fixture.list.fetches == 3);
    CHECK(fixture.list.announced.size() == 3);
    fixture.list.announceResult = core::Success();
    fixture.directory.announceLeaving();
    CHECK(fixture.list.announced.back().leaving);
    fixture.directory.stop();
    const int before = fixture.list.fetches;
    fixture.clock.advance(seconds(5));
    CHECK(fixture.list.fetches == before);
}

TEST_CASE("a planned stop continues when the instance list is unreachable")
{
    Fixture fixture;
    bool done = false;
    fixture.directory.withdraw([&] { done = true; });
    CHECK(done);
}

TEST_CASE(
        "the newer of two peers' states is used, and an invalid response doesn't affect the other")
{
    Fixture fixture;
    std::optional<core::Outcome<decisions::ClusterState>> fetched;
    const auto keep = [&](core::Outcome<decisions::ClusterState> state) { fetched = state; };
    fixture.directory.fetchState(keep);
    REQUIRE(fetched.has_value());
    CHECK(fetched->error().kind == ErrorKind::Unavailable); // No peer is known yet.

    fetched.reset();
    fixture.directory.start();
    fixture.directory.fetchState(keep);
    REQUIRE(fixture.peers.sent.size() == 2); // Not to this instance itself.
    fixture.peers.sent[0].respond(core::makeResponse(200, stateAt(7)));
    CHECK_FALSE(fetched.has_value());
    fixture.peers.sent[1].respond(core::makeResponse(200, stateAt(5)));
    REQUIRE(fetched.has_value());
    REQUIRE(*fetched);
    CHECK((*fetched)->offset() == LogOffset(7));

    fixture.directory.fetchState(keep);
    fixture.peers.sent[2].respond(core::makeResponse(200, "{broken"));
    fixture.peers.sent[3].respond(core::makeResponse(200, stateAt(6)));
    REQUIRE(*fetched);
    CHECK((*fetched)->offset() == LogOffset(6));
}
