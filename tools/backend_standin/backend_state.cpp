// Mutable state of the backend server stand-in.
#include "backend_standin/backend_state.h"

#include "common/replies.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t maxFinishedIds = 100'000;
constexpr std::size_t maxLoadSamples = 100'000;

} // namespace

BackendState::BackendState(const BackendSettings &backend, core::Incarnation first,
                           core::TimePoint now)
    : incarnation(first), capacity(backend, now), settings(backend), random(backend.seed)
{ }

void BackendState::restart(core::Incarnation newIncarnation, core::TimePoint now)
{
    this->incarnation = newIncarnation;
    this->draining = false;
    this->grants = GrantTable();
    this->running.clear();
    this->finished.clear();
    this->finishedOrder.clear();
    this->capacity.restartWarmUp(now);
    this->recordLoad(now);
}

BackendState::Refusal BackendState::checkAdmission(const OwnershipClaim &claim,
                                                   core::TimePoint now) const
{
    if (this->settings.checksFence) {
        std::string reason = this->grants.refusalReason(claim, now);
        if (!reason.empty())
            return {statusConflict, std::move(reason)};
    }
    if (this->draining)
        return {statusUnavailable, "draining"};
    if (this->faults.shed || this->inFlight() >= this->settings.requestSlots)
        return {statusUnavailable, "shed"};
    return {};
}

std::uint64_t BackendState::begin(RunningRequest request, core::TimePoint now)
{
    const std::uint64_t number = ++this->lastNumber;
    this->running.emplace(number, std::move(request));
    this->recordLoad(now);
    return number;
}

std::optional<RunningRequest> BackendState::end(std::uint64_t number, core::TimePoint now)
{
    auto node = this->running.extract(number);
    if (!node)
        return std::nullopt;
    const core::RequestId id = node.mapped().id;
    if (!id.empty() && this->finished.insert(id).second)
        this->finishedOrder.push_back(id);
    if (this->finishedOrder.size() > maxFinishedIds) {
        this->finished.erase(this->finishedOrder.front());
        this->finishedOrder.pop_front();
    }
    this->recordLoad(now);
    return std::move(node.mapped());
}

std::uint64_t BackendState::findRunning(const core::RequestId &id) const
{
    const auto found = std::find_if(this->running.begin(), this->running.end(),
                                    [&id](const auto &entry) { return entry.second.id == id; });
    return found == this->running.end() ? 0 : found->first;
}

RequestState BackendState::requestState(const core::RequestId &id) const
{
    if (this->findRunning(id) != 0)
        return RequestState::Running;
    return this->finished.contains(id) ? RequestState::Finished : RequestState::Unknown;
}

core::Duration BackendState::sampleServiceTime(core::TimePoint now)
{
    double factor = 1;
    if (this->settings.jitter > 0)
        factor += boost::random::uniform_real_distribution<>(-this->settings.jitter,
                                                             this->settings.jitter)(this->random);
    factor *= static_cast<double>(this->faults.slowFactor) * this->capacity.slowdownAt(now);
    return std::chrono::duration_cast<core::Duration>(this->settings.serviceTime * factor);
}

double BackendState::reportedLoad(core::TimePoint now) const
{
    const core::TimePoint reportedAt = now - this->faults.loadLag;
    const auto sample =
            std::find_if(this->samples.rbegin(), this->samples.rend(),
                         [reportedAt](const LoadSample &each) { return each.since <= reportedAt; });
    const unsigned reported = sample == this->samples.rend() ? 0 : sample->inFlight;
    return static_cast<double>(reported) / this->settings.requestSlots;
}

void BackendState::recordLoad(core::TimePoint now)
{
    this->samples.push_back({now, this->inFlight()});
    const auto isObsolete = [this, now] {
        return this->samples.size() > 1 && this->samples[1].since <= now - this->faults.loadLag;
    };
    while (isObsolete() || this->samples.size() > maxLoadSamples)
        this->samples.pop_front();
}

} // namespace amaranthdale::tools
