// Fuzz target for the decoders of control messages. An accepted message must survive a round trip
// through its encoding.
#include "fuzz_main.h"

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/peer/messages.h"

#include <cstdlib>
#include <iostream>

namespace amaranthdale::fuzz {

namespace {

template<class Message>
void checkRoundTrip(std::string_view input, core::Result<std::string> (*encode)(const Message &),
                    core::Result<Message> (*decode)(std::string_view))
{
    const auto message = core::attempt([&] { return decode(input); });
    if (!message)
        return;
    const auto bytes = core::attempt([&] { return encode(*message); });
    const auto decodedAgain = bytes ? core::attempt([&] { return decode(*bytes); }) : bytes.error();
    if (decodedAgain && *decodedAgain == *message)
        return;
    std::cerr << "a decoded message changed in a round trip through its encoding\n";
    std::abort();
}

} // namespace

std::vector<std::string> seedInputs()
{
    peer::Heartbeat heartbeat;
    heartbeat.sender = {core::InstanceName("gasabo-1"), core::Incarnation(7)};
    heartbeat.logAge = std::chrono::milliseconds(40);
    heartbeat.requestedPromises.push_back({core::ServerName("till-1"), core::Epoch(90)});
    heartbeat.crashBans.push_back({77, std::chrono::minutes(9)});
    heartbeat.loads.push_back({core::ServerName("till-1"), 2, 4, 1});
    peer::HeartbeatReply reply;
    reply.sender = heartbeat.sender;
    reply.promises.push_back(
            {{core::ServerName("till-1"), core::Epoch(90)}, std::chrono::milliseconds(300)});
    const peer::LedgerRequest request{
            core::ServerName("till-1"), core::ServiceName("till"), {1, 2, 900}, core::LogOffset(5)};
    peer::LedgerReply ledger;
    peer::LedgerEntry entry;
    entry.slot = 2;
    entry.requestId = core::RequestId("amd-9-x");
    entry.state = peer::LedgerState::Answered;
    entry.status = 200;
    entry.body = "paid";
    ledger.entries.push_back(entry);
    ledger.slots.push_back({2, core::LogOffset(3), std::chrono::minutes(10)});
    std::vector<std::string> all;
    for (const auto &encoded : {core::attempt([&] { return encodeHeartbeat(heartbeat); }),
                                core::attempt([&] { return encodeHeartbeatReply(reply); }),
                                core::attempt([&] { return encodeLedgerRequest(request); }),
                                core::attempt([&] { return encodeLedgerReply(ledger); })})
        all.push_back(*encoded);
    return all;
}

void runInput(std::string_view input)
{
    checkRoundTrip(input, &peer::encodeHeartbeat, &peer::decodeHeartbeat);
    checkRoundTrip(input, &peer::encodeHeartbeatReply, &peer::decodeHeartbeatReply);
    checkRoundTrip(input, &peer::encodeLedgerRequest, &peer::decodeLedgerRequest);
    checkRoundTrip(input, &peer::encodeLedgerReply, &peer::decodeLedgerReply);
}

} // namespace amaranthdale::fuzz
