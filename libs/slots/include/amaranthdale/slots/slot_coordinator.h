// Slots of backend servers, handed out by one instance for each keyed server, and for each other
// service in each data centre.
//
// Which instance that is follows from the list of members by rendezvous hashing; nothing is agreed
// on or stored. Two instances may both take themselves for it for a while, and one that starts anew
// knows of no slots in use: both only make its count less exact, and the servers' own reports mend
// it. An instance that gets no answer decides by what it knows itself.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/gateway/slot_advisor.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/slots/datagram_channel.h"

#include <memory>

namespace amaranthdale::slots {

struct CoordinatorLimits
{
    /// A request for a slot that is unanswered for so long goes elsewhere. An idle instance answers
    /// within 2 ms, but a response of 90 KB occupies a link of 10 Mbit/s for 72 ms.
    core::Duration answerTimeout = std::chrono::milliseconds(120);
    /// An instance that leaves so many in a row unanswered is avoided: single datagrams get lost,
    /// and the link of this instance may be the one that is full.
    unsigned mostUnanswered = 3;
    /// After so many unanswered requests in a row, whoever was asked, this instance itself is cut
    /// off: it decides alone for a while.
    unsigned mostSilent = 4;
    core::Duration aloneTime = std::chrono::seconds(1);
    /// Waiting requests are looked at again this often, as some have to be refused in time.
    core::Duration tick = std::chrono::milliseconds(20);
    /// How long the choice of the instance for a task is kept.
    core::Duration assigneeLife = std::chrono::seconds(2);
    /// A queued request that is still undecided so long before its deadline is decided alone.
    core::Duration queueMargin = std::chrono::milliseconds(150);
};

/// Asks other instances for slots and hands out slots to them.
class SlotCoordinator : public gateway::SlotAdvisor
{
public:
    /// Begins to take messages of other instances.
    virtual void start() = 0;

    /// Hands out no further slots.
    virtual void stop() = 0;
};

/// The parts outlive the coordinator. `incarnation` sets this run's tickets apart from earlier
/// ones.
std::shared_ptr<SlotCoordinator> makeSlotCoordinator(clock::Clock &clock, log::EventLog &events,
                                                     gateway::Gateway &gateway,
                                                     membership::Members &members,
                                                     DatagramChannel &channel,
                                                     core::Incarnation incarnation,
                                                     CoordinatorLimits limits = {});

} // namespace amaranthdale::slots
