// Tests of error propagation and of the stable hash.
#include "amaranthdale/core/hash.h"
#include "amaranthdale/core/outcome.h"

#include <doctest/doctest.h>

using namespace amaranthdale::core;

namespace {

Result<int> parsePositive(int number)
{
    if (number <= 0)
        return fail(ErrorKind::InvalidArgument, "number must be positive; give 1 or more");
    return number;
}

} // namespace

TEST_CASE("attempt keeps kind and message of an error that LEAF carried")
{
    CHECK(*attempt([] { return parsePositive(3); }) == 3);
    const auto outcome = attempt([] { return parsePositive(0); });
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().kind == ErrorKind::InvalidArgument);
    CHECK(outcome.error().message == "number must be positive; give 1 or more");
}

TEST_CASE("the stable hash has fixed values, as processes of different builds must agree on slots")
{
    CHECK(stableHash("", 0) == 0x2d06800538d394c2ULL);
    CHECK(slotForKey("polish", 7, 1024) == slotForKey("polish", 7, 1024));
    CHECK(slotForKey("polish", 7, 1) == 0);
}
