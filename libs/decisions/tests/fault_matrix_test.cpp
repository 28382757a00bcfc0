// Safety and recovery of the ownership protocol (section 3.2 of the design page) under faults.
#include "ownership_faults.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::model;

namespace {

// Assumes that no instance takes over and that any former controller has stopped.
class AuthorityWithoutWaits : public AuthorityPolicy
{
public:
    std::optional<core::TimePoint> authorityUntil(const AuthorityInputs &) const override
    {
        return core::TimePoint::max();
    }
    core::Duration waitBeforeSending(const TakeoverInputs &) const override
    {
        return core::Duration::zero();
    }
    core::Duration waitBeforeRelease(const TakeoverInputs &) const override
    {
        return core::Duration::zero();
    }
};

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += line + "\n";
    return text;
}

} // namespace

TEST_CASE("no fault of the matrix gives a slot two owners or leaves it unserved beyond its limit")
{
    for (const FaultCase &fault : faultMatrix()) {
        for (std::uint64_t seed : {1, 2, 3}) {
            if (fault.duration > std::chrono::seconds(30) && seed > 1)
                continue;
            CAPTURE(fault.name);
            CAPTURE(seed);
            const FaultResult result = runCase(fault, seed);
            CHECK(result.settled);
            CHECK_MESSAGE(result.breaches.empty(), joinLines(result.breaches));
            CHECK(result.longestGap.count() <= fault.longestGap.count());
            CHECK(result.servedAtEnd);
            CHECK(result.statesAgree);
        }
    }
}

TEST_CASE("the checker reports breaches of a policy without waits")
{
    const PolicyFactory withoutWaits = [](const OwnershipTimings &) {
        return std::make_unique<AuthorityWithoutWaits>();
    };
    std::size_t casesWithBreaches = 0;
    for (const FaultCase &fault : faultMatrix()) {
        if (fault.duration <= std::chrono::seconds(30))
            casesWithBreaches += runCase(fault, 1, withoutWaits).breaches.empty() ? 0 : 1;
    }
    MESSAGE("cases in which the policy without waits gave two owners: ", casesWithBreaches);
    CHECK(casesWithBreaches >= 3);
}

TEST_CASE("random combinations of faults never give a slot two owners, and all slots are served "
          "again")
{
    constexpr std::uint64_t schedules = 200;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const FaultCase fault = randomCase(seed);
        CAPTURE(seed);
        const FaultResult result = runCase(fault, seed);
        CHECK(result.settled);
        CHECK_MESSAGE(result.breaches.empty(), joinLines(result.breaches));
        CHECK(result.servedAtEnd);
        CHECK(result.statesAgree);
    }
}
