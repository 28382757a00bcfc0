// Liveness of peers: silence, absence from the instance list and replacement.
#include "amaranthdale/decisions/failure_detector.h"

#include "rendezvous.h"

#include <algorithm>

namespace amaranthdale::decisions {

namespace {

// A full mesh of up to 9 instances costs each of them at most 80 heartbeats per second.
constexpr std::size_t maxFullMeshInstances = 9;
constexpr std::size_t partialMeshTargets = 4;

} // namespace

FailureDetector::FailureDetector(InstanceView instance, OwnershipTimings intervals,
                                 core::TimePoint now)
    : self(std::move(instance)), timings(intervals), listeningSince(now)
{ }

void FailureDetector::updateInstanceList(const std::vector<InstanceView> &instances,
                                         core::TimePoint now)
{
    this->instanceListReceived = true;
    if (!this->firstListAt)
        this->firstListAt = now;
    for (auto &[id, peer] : this->peers)
        peer.isListed = false;
    for (const InstanceView &view : instances) {
        if (view.id == this->self.id)
            continue;
        Peer &peer = this->peers[view.id];
        peer.view = view;
        peer.isListed = true;
        peer.absentSince.reset();
        if (view.leaving)
            peer.machine.startDraining();
    }
    for (auto &[id, peer] : this->peers) {
        if (!peer.isListed && !peer.absentSince)
            peer.absentSince = now;
        if (this->isGone(id, now))
            peer.machine.markGone();
    }
    std::erase_if(this->peers, [](const auto &entry) {
        return entry.second.machine.phase() == InstancePhase::Gone;
    });
}

void FailureDetector::recordMessage(const core::InstanceId &instance, core::TimePoint now)
{
    Peer &peer = this->peers[instance];
    peer.view.id = instance;
    peer.lastHeard = now;
    peer.machine.messageReceived();
}

void FailureDetector::recordHeartbeat(const InstanceView &instance, core::TimePoint now)
{
    this->recordMessage(instance.id, now);
    Peer &peer = this->peers[instance.id];
    peer.view = instance;
    if (instance.leaving)
        peer.machine.startDraining();
}

void FailureDetector::restartSilenceTimers(core::TimePoint now)
{
    this->listeningSince = now;
}

core::Duration FailureDetector::silenceDuration(const core::InstanceId &instance,
                                                core::TimePoint now) const
{
    const auto found = this->peers.find(instance);
    core::TimePoint since = this->listeningSince;
    if (found != this->peers.end() && found->second.lastHeard)
        since = std::max(since, *found->second.lastHeard);
    return now - since;
}

bool FailureDetector::wasReplaced(const core::InstanceId &instance) const
{
    if (instance.name == this->self.id.name)
        return instance != this->self.id;
    // Called for each backend server every 10 ms, so a scan of all instances would cost servers
    // times instances. The map is ordered by name first; only ids of the same name are visited.
    auto entry = this->peers.lower_bound(core::InstanceId{instance.name, core::Incarnation()});
    for (; entry != this->peers.end() && entry->first.name == instance.name; ++entry) {
        if (entry->second.isListed && entry->first != instance)
            return true;
    }
    return false;
}

bool FailureDetector::isGone(const core::InstanceId &instance, core::TimePoint now) const
{
    if (instance == this->self.id || !this->firstListAt)
        return false;
    if (this->silenceDuration(instance, now) < this->timings.suspectTimeout)
        return false;
    if (this->wasReplaced(instance))
        return true;
    const auto found = this->peers.find(instance);
    if (found == this->peers.end())
        return now - *this->firstListAt >= this->timings.absenceTimeout;
    const std::optional<core::TimePoint> &absent = found->second.absentSince;
    return absent && now - *absent >= this->timings.absenceTimeout;
}

std::vector<InstanceView> FailureDetector::usableInstances(core::TimePoint now) const
{
    std::vector<InstanceView> result;
    if (!this->self.leaving)
        result.push_back(this->self);
    for (const auto &[id, peer] : this->peers) {
        const bool answers = peer.lastHeard
                && now - std::max(*peer.lastHeard, this->listeningSince)
                        < this->timings.suspectTimeout;
        if (answers && peer.machine.phase() == InstancePhase::Serving)
            result.push_back(peer.view);
    }
    std::sort(result.begin(), result.end(),
              [](const InstanceView &a, const InstanceView &b) { return a.id < b.id; });
    return result;
}

std::vector<core::InstanceId> FailureDetector::heartbeatTargets() const
{
    std::vector<core::InstanceId> result;
    for (const auto &[id, peer] : this->peers) {
        if (peer.isListed)
            result.push_back(id);
    }
    if (result.size() < maxFullMeshInstances)
        return result;
    const std::string own = this->self.id.name.value;
    std::partial_sort(result.begin(), result.begin() + partialMeshTargets, result.end(),
                      [&own](const core::InstanceId &a, const core::InstanceId &b) {
                          return rendezvousWeight(own, a.name.value)
                                  > rendezvousWeight(own, b.name.value);
                      });
    result.resize(partialMeshTargets);
    return result;
}

InstancePhase FailureDetector::phaseOf(const core::InstanceId &instance, core::TimePoint now)
{
    const auto found = this->peers.find(instance);
    if (found == this->peers.end())
        return this->isGone(instance, now) ? InstancePhase::Gone : InstancePhase::Joining;
    if (this->silenceDuration(instance, now) >= this->timings.suspectTimeout)
        found->second.machine.silenceDetected();
    return found->second.machine.phase();
}

} // namespace amaranthdale::decisions
