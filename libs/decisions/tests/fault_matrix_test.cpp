// Safety and recovery under faults. Guards the rules of section 3.2 of the design page.
#include "ownership_faults.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::model;

namespace {

// Trusts that nobody takes over, and that a former controller has stopped.
class NaiveAuthority : public AuthorityPolicy
{
public:
    std::optional<core::TimePoint> authorityUntil(const AuthorityFacts &) const override
    {
        return core::TimePoint::max();
    }
    core::Duration waitBeforeSending(const TakeoverFacts &) const override
    {
        return core::Duration::zero();
    }
    core::Duration waitBeforeRelease(const TakeoverFacts &) const override
    {
        return core::Duration::zero();
    }
};

std::string textOf(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

} // namespace

TEST_CASE("no fault of the matrix gives a slot two owners or keeps it unserved for too long")
{
    for (const FaultCase &fault : faultMatrix()) {
        for (std::uint64_t seed : {1, 2, 3}) {
            if (fault.duration > std::chrono::seconds(30) && seed > 1)
                continue;
            CAPTURE(fault.name);
            CAPTURE(seed);
            const FaultResult result = runCase(fault, seed);
            CHECK(result.settled);
            CHECK_MESSAGE(result.breaches.empty(), textOf(result.breaches));
            CHECK(result.longestGap.count() <= fault.longestGap.count());
            CHECK(result.servedAtEnd);
            CHECK(result.statesAgree);
        }
    }
}

TEST_CASE("a policy without waits is reported as a breach, so the checker sees what it should")
{
    const PolicyFactory naive = [](const OwnershipTimings &) {
        return std::make_unique<NaiveAuthority>();
    };
    std::size_t reported = 0;
    for (const FaultCase &fault : faultMatrix()) {
        if (fault.duration <= std::chrono::seconds(30))
            reported += runCase(fault, 1, naive).breaches.empty() ? 0 : 1;
    }
    MESSAGE("cases in which the naive policy broke ownership: ", reported);
    CHECK(reported >= 3);
}

TEST_CASE("random combinations of faults never give a slot two owners, and service returns")
{
    constexpr std::uint64_t schedules = 200;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const FaultCase fault = randomCase(seed);
        CAPTURE(seed);
        const FaultResult result = runCase(fault, seed);
        CHECK(result.settled);
        CHECK_MESSAGE(result.breaches.empty(), textOf(result.breaches));
        CHECK(result.servedAtEnd);
        CHECK(result.statesAgree);
    }
}
