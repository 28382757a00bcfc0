// Allocation of backend server slots across instances. One instance allocates the slots of each
// keyed server; for other services, one instance does so per service and data centre.
//
// Rendezvous hashing over the member list selects that instance, without agreement or stored state.
// For a while, two instances may both consider themselves responsible, and a restarted one doesn't
// know the slots in use. Both only make its count of used slots less exact, and the servers' load
// reports correct it. An instance that gets no response decides from its local state.
#pragma once

#include "amaranthdale/admission/admission_policy.h"
#include "amaranthdale/clock/clock.h"
#include "amaranthdale/gateway/gateway.h"
#include "amaranthdale/gateway/slot_allocator.h"
#include "amaranthdale/hedging/pool_hedge_budget.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/slots/datagram_channel.h"

#include <memory>

namespace amaranthdale::slots {

struct CoordinatorOptions
{
    /// A slot request that gets no response within this time is decided locally. An idle instance
    /// responds within 2 ms, but a response of 90 KB occupies a link of 10 Mbit/s for 72 ms.
    core::Duration responseTimeout = std::chrono::milliseconds(120);
    /// An instance with this many consecutive timeouts is avoided. More than one is required, since
    /// single datagrams get lost and this instance's own link may be the saturated one.
    unsigned maxInstanceTimeouts = 3;
    /// After this many consecutive timeouts over all instances, this instance is assumed to be cut
    /// off, and decides locally for `localDecisionTime`.
    unsigned maxConsecutiveTimeouts = 4;
    core::Duration localDecisionTime = std::chrono::seconds(1);
    /// Interval at which queued requests are re-evaluated, so that late ones are refused in time.
    core::Duration queueCheckInterval = std::chrono::milliseconds(20);
    /// How long the instance selected for a pool is cached.
    core::Duration assigneeCacheTime = std::chrono::seconds(2);
    /// A queued request that is undecided this long before its deadline is decided locally.
    core::Duration queueDeadlineMargin = std::chrono::milliseconds(150);
    /// Of all instances together; none by default.
    hedging::SharedHedgeLimits hedges;
    /// Shares of the routes in pools that are short of capacity; off by default.
    admission::AdmissionOptions admission;
    /// Receives the state of short pools for metrics; may be null.
    std::shared_ptr<admission::AdmissionObserver> admissionObserver;
    /// Receives the service times of servers that own keys; may be null.
    std::shared_ptr<balance::ServiceTimeBoard> serviceTimes;
};

/// Requests slots from other instances and allocates slots to them.
class SlotCoordinator : public gateway::SlotAllocator
{
public:
    /// Starts handling messages from other instances.
    virtual void start() = 0;

    /// Stops allocating slots.
    virtual void stop() = 0;
};

/// The referenced objects must outlive the coordinator. `incarnation` distinguishes the tickets of
/// this run from those of earlier ones.
std::shared_ptr<SlotCoordinator> makeSlotCoordinator(clock::Clock &clock, log::EventLog &events,
                                                     gateway::Gateway &gateway,
                                                     membership::Members &members,
                                                     DatagramChannel &channel,
                                                     core::Incarnation incarnation,
                                                     CoordinatorOptions options = {});

} // namespace amaranthdale::slots
