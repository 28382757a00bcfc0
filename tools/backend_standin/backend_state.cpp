// State of the backend server stand-in.
#include "backend_standin/backend_state.h"

#include "common/replies.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t mostFinished = 100'000;
constexpr std::size_t mostSamples = 100'000;

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
    this->capacity.turnCold(now);
    this->noteLoad(now);
}

BackendState::Refusal BackendState::whyRefused(const Claim &claim, core::TimePoint now) const
{
    if (this->settings.checksFence) {
        std::string reason = this->grants.whyRefused(claim, now);
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
    this->noteLoad(now);
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
    if (this->finishedOrder.size() > mostFinished) {
        this->finished.erase(this->finishedOrder.front());
        this->finishedOrder.pop_front();
    }
    this->noteLoad(now);
    return std::move(node.mapped());
}

std::uint64_t BackendState::findRunning(const core::RequestId &id) const
{
    const auto found = std::find_if(this->running.begin(), this->running.end(),
                                    [&id](const auto &entry) { return entry.second.id == id; });
    return found == this->running.end() ? 0 : found->first;
}

RequestFate BackendState::fateOf(const core::RequestId &id) const
{
    if (this->findRunning(id) != 0)
        return RequestFate::Running;
    return this->finished.contains(id) ? RequestFate::Finished : RequestFate::Unknown;
}

core::Duration BackendState::drawServiceTime(core::TimePoint now)
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
    const core::TimePoint moment = now - this->faults.loadLag;
    const auto after =
            std::find_if(this->samples.rbegin(), this->samples.rend(),
                         [moment](const LoadSample &sample) { return sample.since <= moment; });
    const unsigned shown = after == this->samples.rend() ? 0 : after->inFlight;
    return static_cast<double>(shown) / this->settings.requestSlots;
}

void BackendState::noteLoad(core::TimePoint now)
{
    this->samples.push_back({now, this->inFlight()});
    const auto isCovered = [this, now] {
        return this->samples.size() > 1 && this->samples[1].since <= now - this->faults.loadLag;
    };
    while (isCovered() || this->samples.size() > mostSamples)
        this->samples.pop_front();
}

} // namespace amaranthdale::tools
