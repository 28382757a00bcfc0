// Tests of the policy that finds requests which crash servers.
#include "amaranthdale/quarantine/crash_policy.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::quarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint start{std::chrono::hours(1)};
constexpr Fingerprint request = 17;

ServerRun run(const std::string &name, std::uint64_t incarnation = 1)
{
    return {core::ServerName(name), incarnation};
}

// The server ends with the request that it runs, and the registry removes it.
std::optional<Block> crash(CrashPolicy &policy, const ServerRun &server, core::TimePoint now)
{
    const auto block = policy.onLost(request, server, now);
    const auto confirmed = policy.onServerEnded(server, now + milliseconds(2600));
    return confirmed.blocks.empty() ? block : std::optional(confirmed.blocks.front());
}

} // namespace

// Guards against a request that crashes one server after the other.
TEST_CASE("a request is blocked at its third loss, when two servers have ended with it")
{
    CrashPolicy policy;
    CHECK_FALSE(crash(policy, run("a"), start));
    CHECK_FALSE(crash(policy, run("b"), start + seconds(1)));
    CHECK_FALSE(policy.blockedFor(request, start + seconds(4)));
    const auto block = policy.onLost(request, run("c"), start + seconds(5));
    REQUIRE(block);
    CHECK(block->level == 1);
    CHECK(policy.blockedFor(request, start + seconds(5)) == minutes(2));
    CHECK_FALSE(policy.blockedFor(request + 1, start + seconds(5)));
    CHECK_FALSE(policy.blockedFor(request, start + seconds(5) + minutes(2)));
}

TEST_CASE("a request whose losses all come before the first server is removed is blocked then")
{
    CrashPolicy policy;
    for (const char *name : {"a", "b", "c", "d"})
        CHECK_FALSE(policy.onLost(request, run(name), start));
    CHECK(policy.onServerEnded(run("a"), start + seconds(2)).blocks.empty());
    CHECK(policy.onServerEnded(run("b"), start + seconds(2)).blocks.size() == 1);
    CHECK(policy.onServerEnded(run("c"), start + seconds(2)).blocks.empty());
}

TEST_CASE("a server that restarts under its name counts as another one, a repeated loss doesn't")
{
    CrashPolicy policy;
    crash(policy, run("a", 1), start);
    crash(policy, run("a", 1), start);
    policy.onLost(request, run("a", 1), start + seconds(1));
    CHECK_FALSE(policy.blockedFor(request, start + seconds(1)));
    crash(policy, run("a", 2), start + seconds(4));
    CHECK(crash(policy, run("a", 3), start + seconds(8)));
}

// Guards against callers that are refused because their requests were beside one that crashes.
TEST_CASE("a response clears what a request is suspected of")
{
    CrashPolicy policy;
    crash(policy, run("a"), start);
    crash(policy, run("b"), start + seconds(1));
    CHECK(policy.onAnswered(request));
    CHECK_FALSE(crash(policy, run("c"), start + seconds(2)));
    CHECK(policy.isEmpty() == false);
    CHECK_FALSE(policy.onAnswered(request + 1));
}

// Guards against callers that are refused because connections were reset.
TEST_CASE("lost connections to servers that go on, or that leave as planned, block nothing")
{
    CrashPolicy policy;
    for (int index = 0; index < 20; ++index) {
        const ServerRun server = run("s" + std::to_string(index));
        CHECK_FALSE(policy.onLost(request, server, start + milliseconds(100 * index)));
        if (index % 2 == 0)
            policy.onServerLeft(server);
    }
    CHECK(policy.unconfirmed(start + seconds(2)).size() == 10);
    CHECK(policy.unconfirmed(start + seconds(20)).empty());
    CHECK(policy.onServerEnded(run("s1"), start + seconds(20)).crashes.empty());
    policy.expire(start + seconds(20));
    CHECK(policy.isEmpty());
}

TEST_CASE("crashes that lie far apart block nothing")
{
    CrashPolicy policy;
    for (int index = 0; index < 10; ++index)
        CHECK_FALSE(crash(policy, run("s" + std::to_string(index)), start + index * minutes(6)));
}

// Guards against a request that returns after its block: the pages allow three servers more.
TEST_CASE("after a block the next loss starts a longer one at once, until a response")
{
    CrashPolicy policy;
    for (const char *name : {"a", "b", "c"})
        crash(policy, run(name), start);
    core::TimePoint now = start + minutes(3);
    unsigned losses = 0;
    for (; now < start + std::chrono::hours(24); now += seconds(10)) {
        if (policy.blockedFor(request, now))
            continue;
        ++losses;
        CHECK(policy.onLost(request, run("d" + std::to_string(losses)), now));
    }
    CHECK(losses == 2);
    policy.onAnswered(request);
    CHECK_FALSE(policy.onLost(request, run("e"), now));
}

TEST_CASE("crashes and blocks of other instances count like its own")
{
    CrashPolicy policy;
    CHECK_FALSE(policy.merge(Crash{request, 1, seconds(3)}, start));
    CHECK_FALSE(policy.merge(Crash{request, 1, seconds(3)}, start));
    CHECK_FALSE(policy.merge(Crash{request, 2, seconds(2)}, start));
    CHECK(policy.onLost(request, run("c"), start));
    CHECK(policy.merge(Block{request + 1, 2, minutes(5)}, start));
    CHECK_FALSE(policy.merge(Block{request + 1, 2, minutes(5)}, start + seconds(1)));
    CHECK(policy.blockedFor(request + 1, start) == minutes(5) + seconds(1));
    CHECK(policy.blocks(start).size() == 2);
    policy.clear(request + 1);
    CHECK_FALSE(policy.blockedFor(request + 1, start));
}

TEST_CASE("the number of fingerprints is bounded, and what counts no longer is forgotten")
{
    CrashPolicyOptions options;
    options.maxFingerprints = 100;
    CrashPolicy policy(options);
    for (Fingerprint fingerprint = 0; fingerprint < 1000; ++fingerprint)
        policy.merge(Block{fingerprint, 1, seconds(30)}, start + milliseconds(fingerprint));
    CHECK(policy.blocks(start + seconds(1)).size() == 100);
    CHECK(policy.blockedFor(999, start + seconds(1)));
    policy.expire(start + std::chrono::hours(48));
    CHECK(policy.isEmpty());
}
