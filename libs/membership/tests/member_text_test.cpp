// Text format of members in the store and in messages between instances.
#include "amaranthdale/membership/member_text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthdale;
using namespace amaranthdale::membership;

namespace {

// A fixed seed makes the test reproducible; RapidCheck prints the seed of a failure.
const int seedSet = ::setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace

TEST_CASE("formatted members are parsed back unchanged")
{
    const Member member{
            core::InstanceName("edge-1"), core::DataCentreName("poa"), {"10.1.0.15", 7620}, 0.2};
    CHECK(formatMember(member) == "edge-1|poa|10.1.0.15:7620|0.200");
    const auto parsed = parseMembers(formatMembers({member, member}));
    REQUIRE(parsed);
    CHECK(*parsed == std::vector<Member>{member, member});
}

TEST_CASE("an invalid member text is an error and never yields a member without an address")
{
    for (const char *text : {"", "edge-1", "a|b|c|d", "a|b|10.0.0.1:5", "|b|10.0.0.1:5|1",
                             "a|b|10.0.0.1:5|0", "a|b|10.0.0.1:5|-1", "a|b|10.0.0.1:5|1|x",
                             "a|b|10.0.0.1:5|nan", "a|b|10.0.0.1:0|1", "a|b|10.0.0.1:65536|1",
                             "a\nc|b|10.0.0.1:5|1", "a|b\r|10.0.0.1:5|1", "a|b|10.0.0.1:5|1e400"})
        CHECK(!parseMember(text));
    const bool safe = rc::check("arbitrary texts are parsed without a crash",
                                [](const std::string &text) { parseMembers(text); });
    CHECK(safe);
}
