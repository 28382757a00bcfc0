// Tests of the messages about crashes, which any process on the network may send.
#include "amaranthdale/quarantine/crash_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace amaranthdale;
using namespace amaranthdale::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// RapidCheck reads its configuration on first use; without a seed it would use a random one.
const int seedSet = ::setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace

TEST_CASE("an encoded message decodes to the same message")
{
    const CrashMessage message{
            {{1, 2, milliseconds(3)}, {~0ULL, ~0ULL, seconds(600)}}, {{4, 5, seconds(6)}}, {7, 8}};
    const std::string bytes = encodeCrashMessage(message);
    CHECK(isCrashMessage(bytes));
    CHECK(decodeCrashMessage(bytes) == message);
    CHECK_FALSE(decodeCrashMessage(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodeCrashMessage(bytes + "x"));
    CHECK_FALSE(isCrashMessage(""));
}

TEST_CASE("a message with more entries than fit is one datagram with the first of them")
{
    CrashMessage message;
    message.crashes.resize(1000);
    message.blocks.resize(1000);
    message.cleared.resize(1000);
    const std::string bytes = encodeCrashMessage(message);
    CHECK(bytes.size() <= 1200);
    REQUIRE(decodeCrashMessage(bytes));
    CHECK(decodeCrashMessage(bytes)->crashes.size() == maxMessageEntries);
}

TEST_CASE("arbitrary bytes are rejected or decoded within bounds")
{
    CHECK(rc::check("decode", [](const std::string &tail) {
        const std::string bytes = static_cast<char>(crashMessageByte) + tail;
        if (const auto message = decodeCrashMessage(bytes)) {
            RC_ASSERT(message->crashes.size() <= maxMessageEntries);
            for (const Block &block : message->blocks)
                RC_ASSERT(block.remaining <= std::chrono::hours(24));
        }
    }));
}
