// Tracking of the start and end of unavailable intervals.
#include "unavailable_slots.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

// Two default heartbeat intervals. A controller silent for longer than that had failed before it
// was replaced.
constexpr core::Duration maxHeartbeatSilence = std::chrono::milliseconds(200);

std::vector<core::SlotIndex> slotsOwnedBy(const decisions::ClusterState &state,
                                          const core::ServerName &server,
                                          const core::ServiceName &serviceName)
{
    std::vector<core::SlotIndex> slots;
    const decisions::ServiceState *service = state.findService(serviceName);
    if (!service)
        return slots;
    for (core::SlotIndex slot = 0; slot < service->slots.size(); ++slot) {
        if (service->slots[slot].server == server)
            slots.push_back(slot);
    }
    return slots;
}

} // namespace

UnavailableSlots::UnavailableSlots(report::Recorder &reportRecorder, core::InstanceId ownId)
    : recorder(reportRecorder), self(std::move(ownId))
{ }

void UnavailableSlots::replayed(std::shared_ptr<const decisions::ClusterState> cluster,
                                const LastHeartbeats &lastHeartbeats, core::TimePoint now)
{
    Ended ended;
    this->state.with([&](State &lockedState) {
        this->updateControlled(lockedState, *cluster, lastHeartbeats, now, ended);
        lockedState.cluster = std::move(cluster);
    });
    this->recordIntervals(ended);
}

void UnavailableSlots::updateControlled(State &lockedState, const decisions::ClusterState &next,
                                        const LastHeartbeats &lastHeartbeats, core::TimePoint now,
                                        Ended &ended) const
{
    std::map<core::ServerName, ControlledServer> updated;
    for (const auto &[name, server] : next.servers()) {
        if (!server.controller || server.controller->instance != this->self)
            continue;
        ControlledServer &entry = updated[name];
        entry.service = server.service;
        const auto before = lockedState.controlled.find(name);
        if (before != lockedState.controlled.end()) {
            entry.unresponsiveSince = before->second.unresponsiveSince;
            entry.observedAt = before->second.observedAt;
        }
        for (core::SlotIndex slot : slotsOwnedBy(next, name, server.service)) {
            const bool known =
                    before != lockedState.controlled.end() && before->second.slots.contains(slot);
            entry.slots[slot] = known
                    ? before->second.slots.at(slot)
                    : initialBegin(lockedState, name, server, slot, lastHeartbeats, now);
        }
    }
    for (auto &[name, entry] : lockedState.controlled) {
        const auto stillControlled = updated.find(name);
        for (const auto &[slot, begin] : entry.slots) {
            if (stillControlled == updated.end() || !stillControlled->second.slots.contains(slot))
                end(name, entry, slot, now, ended);
        }
    }
    lockedState.controlled = std::move(updated);
}

UnavailableSlots::Begin UnavailableSlots::initialBegin(const State &lockedState,
                                                       const core::ServerName &server,
                                                       const decisions::ServerState &next,
                                                       core::SlotIndex slot,
                                                       const LastHeartbeats &lastHeartbeats,
                                                       core::TimePoint now)
{
    const decisions::ServiceState *before =
            lockedState.cluster ? lockedState.cluster->findService(next.service) : nullptr;
    if (!before || slot >= before->slots.size() || before->slots[slot].server.value.empty())
        return std::nullopt;
    if (before->slots[slot].server != server)
        return now;
    const decisions::ServerState *previous = lockedState.cluster->findServer(server);
    if (!previous || !previous->controller)
        return now;
    const auto lastHeartbeat = lastHeartbeats.find(previous->controller->instance);
    const bool failed = lastHeartbeat != lastHeartbeats.end()
            && now - lastHeartbeat->second > maxHeartbeatSilence;
    return failed ? lastHeartbeat->second : now;
}

std::vector<core::ServerName> UnavailableSlots::controlled() const
{
    return this->state.with([](const State &lockedState) {
        std::vector<core::ServerName> names;
        for (const auto &[name, entry] : lockedState.controlled)
            names.push_back(name);
        return names;
    });
}

void UnavailableSlots::updateGrantedSlots(const core::ServerName &server,
                                          const std::vector<core::SlotIndex> &granted,
                                          core::TimePoint now)
{
    Ended ended;
    this->state.with([&](State &lockedState) {
        const auto found = lockedState.controlled.find(server);
        // Threads may report observations out of order.
        if (found == lockedState.controlled.end() || now < found->second.observedAt)
            return;
        ControlledServer &entry = found->second;
        entry.observedAt = now;
        for (auto &[slot, begin] : entry.slots) {
            const bool served = !entry.unresponsiveSince
                    && std::binary_search(granted.begin(), granted.end(), slot);
            if (served)
                end(server, entry, slot, now, ended);
            else if (!begin)
                begin = entry.unresponsiveSince.value_or(now);
        }
    });
    this->recordIntervals(ended);
}

void UnavailableSlots::queryCompleted(const core::ServerName &server, bool answered,
                                      core::TimePoint sentAt)
{
    this->state.with([&](State &lockedState) {
        const auto found = lockedState.controlled.find(server);
        if (found == lockedState.controlled.end())
            return;
        if (answered)
            found->second.unresponsiveSince.reset();
        else if (!found->second.unresponsiveSince)
            found->second.unresponsiveSince = sentAt;
    });
}

void UnavailableSlots::end(const core::ServerName &server, ControlledServer &entry,
                           core::SlotIndex slot, core::TimePoint now, Ended &ended)
{
    Begin &begin = entry.slots.at(slot);
    if (!begin)
        return;
    const auto same =
            std::find_if(ended.begin(), ended.end(), [&](const report::SlotsUnavailable &interval) {
                return interval.server == server && interval.begin == *begin;
            });
    if (same != ended.end())
        ++same->slots;
    else
        ended.push_back({entry.service, server, 1, *begin, now});
    begin.reset();
}

void UnavailableSlots::recordIntervals(const Ended &ended)
{
    for (const report::SlotsUnavailable &interval : ended)
        this->recorder.slotsUnavailable(interval);
}

} // namespace amaranthdale::daemon
