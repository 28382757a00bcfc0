// Protocol for messages between granters and witnesses, over HTTP/1.1.
//
// Each body begins with "ID ", a number that the response repeats in front of its own body: a late
// copy of the response to an earlier request must not count for a later one. The rest is:
//
// POST /witness/confirm/SERVICE: "INCARNATION END GRANTER-INCARNATION GRANTER-NAME": the
// incarnation of the witness, the end of the log as the granter has read it, and the granter.
// Status 200: no successor is known; 409: one is, or this is a later process of the witness.
// POST /witness/agree/SERVICE: "INCARNATION END NAME": the witness, and the end of the
// log as the successor has read it. Status 200: granters that haven't read the log up to END get no
// confirmation. The body is then "confirmed MILLISECONDS", the time since the last confirmation, or
// "unconfirmed" if there was none. A later process of the witness answers with its own age.
// POST /witness/identity/SERVICE: nothing. Status 200: the body is "INCARNATION NAME".
// Status 503: this instance is no witness for the service now; 400: the message is malformed.
#pragma once

#include "amaranthdale/control/interfaces.h"
#include "amaranthdale/core/message.h"

namespace amaranthdale::control {

inline constexpr std::string_view witnessPathPrefix = "/witness/";

/// Creates a channel that sends messages through `sender`.
std::unique_ptr<WitnessChannel> makeWitnessChannel(core::HttpSender &sender);

/// Receives the messages to witnesses.
class WitnessListener
{
public:
    virtual ~WitnessListener() = default;

    /// Confirms to `granter` that no successor is known; false if one is.
    virtual bool onConfirmationRequest(const core::ServiceName &service,
                                       const core::InstanceId &granter,
                                       std::uint64_t granterEnd) = 0;

    /// Agrees as this process; nothing if it is no witness for the service.
    virtual std::optional<keyspace::WitnessAgreement> onAgreementRequest(
            const core::ServiceName &service, std::uint64_t successorEnd) = 0;

    /// The time since which no earlier process of this instance receives messages.
    virtual core::Duration processAge() const = 0;

    /// True if this instance can be a witness for the service.
    virtual bool isWitness(const core::ServiceName &service) = 0;
};

/// Creates a handler for messages to the process `self`.
std::unique_ptr<core::RequestHandler> makeWitnessHandler(core::InstanceId self,
                                                         WitnessListener &listener);

} // namespace amaranthdale::control
