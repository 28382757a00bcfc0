// Implementation of admission by shares.
#include "share_policy.h"

#include <algorithm>
#include <functional>
#include <numbers>
#include <numeric>
#include <tuple>

namespace amaranthdale::admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Factor between the shares of neighbouring priorities.
constexpr double priorityFactor = 0.45;
// Part of a share that the time budget decides. Smaller than the step between two priorities, so
// that it never reverses their order.
constexpr double budgetPart = 0.3;
// Time budget at which half of `budgetPart` is lost.
constexpr auto middleBudget = std::chrono::seconds(2);

// A wait of this part of the service time is accepted even if the target latency is missed, as for
// pools without shares.
constexpr double shortWaitPart = 0.25;
// Part of the time until the target that a wait may use; the rest covers errors of the estimate.
constexpr double usableSlack = 0.9;
// Callers observe Retry-After up to this part of their remaining time (rule of the platform).
constexpr int honouredPart = 3;
constexpr auto minRetryAfter = std::chrono::milliseconds(50);
// Decayed number of requests below which a group counts as idle.
constexpr double idleDemand = 0.1;
// Bounds the waits of a group whose requests have not been counted yet.
constexpr double leastSlots = 1e-3;
// Counts of some tens of requests vary by about this much; below it, demand isn't certain to exceed
// the capacity.
constexpr double saturation = 1.3;

core::Duration scaled(core::Duration duration, double factor)
{
    // Bounded to an hour: a group without capacity would give an endless time.
    constexpr double longest = 3600;
    return std::chrono::duration_cast<core::Duration>(
            Seconds(std::min(longest, Seconds(duration).count() * factor)));
}

} // namespace

double defaultShare(unsigned priority, core::Duration targetLatency, core::Duration timeout)
{
    // A late response keeps a part of its worth until the timeout, so that it counts a little.
    const double budget =
            std::max(0.0, 0.8 * Seconds(targetLatency).count() + 0.2 * Seconds(timeout).count());
    const double lost = budget / (budget + Seconds(middleBudget).count());
    constexpr unsigned lowest = 16;
    return std::pow(priorityFactor, std::min(priority, lowest)) * (1 - budgetPart * lost);
}

std::unique_ptr<AdmissionPolicy> makeSharePolicy(const AdmissionOptions &options)
{
    return std::make_unique<SharePolicy>(options);
}

SharePolicy::SharePolicy(const AdmissionOptions &policyOptions)
    : options(policyOptions), scale(policyOptions.countHalfLife)
{ }

Arrival SharePolicy::arrive(const Applicant &applicant, core::TimePoint now)
{
    this->rebaseCounts(now);
    const std::size_t index = this->findGroup(applicant);
    Group &group = this->groups[index];
    if (applicant.targetLatency > group.targetLatency) {
        group.targetLatency = applicant.targetLatency;
        const auto configured = this->options.shares.find(group.route);
        group.share = configured != this->options.shares.end()
                ? configured->second
                : defaultShare(group.priority, applicant.targetLatency, applicant.timeout);
    }
    Arrival arrival;
    arrival.classId = this->findClass(index, applicant.organisation);
    // One that may not wait and gets no slot is asked for again elsewhere, or here.
    if (applicant.mayWait) {
        group.asked += this->scale.weight(now);
        arrival.takesPromise = this->classes[arrival.classId].promises.takeDue(now);
    }
    this->updateLargestShare(now);
    return arrival;
}

std::size_t SharePolicy::findGroup(const Applicant &applicant)
{
    const auto known = this->groupIndex.find({applicant.route, applicant.priority});
    if (known != this->groupIndex.end())
        return known->second;
    if (this->groups.size() == maxGroups)
        return maxGroups - 1;
    Group &group = this->groups.emplace_back();
    group.route = this->groups.size() == maxGroups ? "other" : applicant.route;
    group.priority = applicant.priority;
    const std::size_t index = this->groups.size() - 1;
    this->groupIndex[{applicant.route, applicant.priority}] = index;
    return index;
}

ClassId SharePolicy::findClass(std::size_t group, const std::string &organisation)
{
    auto &known = this->groups[group].organisations;
    const auto found = known.find(organisation);
    if (found != known.end())
        return found->second;
    if (known.size() == maxOrganisations) {
        const std::size_t shared = std::hash<std::string>()(organisation) % maxOrganisations;
        return std::next(known.begin(), static_cast<std::ptrdiff_t>(shared))->second;
    }
    this->classes.push_back(Class{group, 0, {}});
    const auto id = static_cast<ClassId>(this->classes.size() - 1);
    known[organisation] = id;
    return id;
}

double SharePolicy::effectiveShare(const Group &group) const
{
    return std::max(group.share, this->options.minRelativeShare * this->largestShare);
}

void SharePolicy::updateLargestShare(core::TimePoint now)
{
    const double least = idleDemand * this->scale.weight(now);
    this->largestShare = 0;
    for (const Group &group : this->groups) {
        if (group.asked >= least)
            this->largestShare = std::max(this->largestShare, group.share);
    }
}

void SharePolicy::rebaseCounts(core::TimePoint now)
{
    if (!this->scale.needsRebase(now))
        return;
    const double divisor = this->scale.rebase(now);
    for (Group &group : this->groups) {
        group.asked /= divisor;
        group.granted /= divisor;
    }
    for (Class &entry : this->classes)
        entry.slotTime /= divisor;
}

std::optional<std::size_t> SharePolicy::selectNext(std::span<const WaitingRequest> waiting,
                                                   core::TimePoint now) const
{
    std::array<bool, maxGroups> hasInTime{};
    for (const WaitingRequest &request : waiting) {
        if (request.eligible && request.canBeInTime(now))
            hasInTime[this->classes[request.classId].group] = true;
    }
    std::array<double, maxGroups> served{}; // Part of the demand, relative to the share.
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        const Group &group = this->groups[index];
        const double share = this->effectiveShare(group)
                * (hasInTime[index] ? 1 : this->options.lateShareFactor);
        served[index] = group.asked > 0 ? group.granted / (group.asked * share) : 0;
    }
    // Ascending order. Those that can't be in time any more give way within their group.
    const auto order = [&](const WaitingRequest &request) {
        const Class &entry = this->classes[request.classId];
        const bool late = !request.canBeInTime(now);
        return std::tuple(served[entry.group], entry.group, late, entry.slotTime,
                          late ? request.deadline : request.targetAt);
    };
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        if (waiting[index].eligible && (!best || order(waiting[index]) < order(waiting[*best])))
            best = index;
    }
    return best;
}

void SharePolicy::onGranted(const WaitingRequest &request, core::TimePoint now)
{
    const double weight = this->scale.weight(now);
    Class &entry = this->classes[request.classId];
    Group &group = this->groups[entry.group];
    entry.slotTime += weight * Seconds(request.serviceTime).count();
    group.granted += weight;
    group.serviceTime = request.serviceTime;
    if (!request.mayWait)
        group.asked += weight; // Not counted on arrival.
}

SharePolicy::WorkAhead SharePolicy::workAhead(const WaitingRequest &request,
                                              std::span<const WaitingRequest> waiting,
                                              core::TimePoint now) const
{
    const std::size_t ownGroup = this->classes[request.classId].group;
    WorkAhead work;
    std::vector<ClassId> others; // Classes of the own group with requests waiting.
    for (const WaitingRequest &other : waiting) {
        if (&other == &request)
            continue;
        const std::size_t group = this->classes[other.classId].group;
        if (group != ownGroup) {
            work.all += other.serviceTime;
            continue;
        }
        if (other.classId != request.classId)
            others.push_back(other.classId);
        if (!other.canBeInTime(now))
            continue;
        if (other.classId != request.classId || other.targetAt <= request.targetAt) {
            work.all += other.serviceTime;
            work.sameGroup += other.serviceTime;
        }
        if (other.classId == request.classId && other.targetAt <= request.targetAt)
            work.sameClass += other.serviceTime;
    }
    std::sort(others.begin(), others.end());
    work.classesOfGroup +=
            static_cast<std::size_t>(std::unique(others.begin(), others.end()) - others.begin());
    return work;
}

// Groups get equal multiples of their shares of their demand; those whose demand is met leave the
// rest to the others.
SharePolicy::GroupSlots SharePolicy::slotsOf(std::size_t ownGroup, double slots,
                                             core::TimePoint now) const
{
    // A count with a half-life is the rate times this duration.
    const Seconds countedTime = this->options.countHalfLife / std::numbers::ln2;
    const double perSecond = 1 / (this->scale.weight(now) * countedTime.count());
    std::array<double, maxGroups> demand{}; // Slots.
    std::array<bool, maxGroups> met{};
    for (std::size_t index = 0; index < this->groups.size(); ++index) {
        const Group &group = this->groups[index];
        demand[index] = group.asked * perSecond * Seconds(group.serviceTime).count();
    }
    const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
    for (std::size_t round = 0; round <= this->groups.size(); ++round) {
        double left = slots;
        double weighted = 0;
        for (std::size_t index = 0; index < this->groups.size(); ++index) {
            if (met[index])
                left -= demand[index];
            else
                weighted += demand[index] * this->effectiveShare(this->groups[index]);
        }
        if (weighted <= 0)
            break;
        const double multiple = left / weighted;
        bool changed = false;
        for (std::size_t index = 0; index < this->groups.size(); ++index) {
            if (met[index] || multiple * this->effectiveShare(this->groups[index]) < 1)
                continue;
            met[index] = true;
            changed = true;
        }
        if (!changed) {
            const double share = multiple * this->effectiveShare(this->groups[ownGroup]);
            return {demand[ownGroup] * (met[ownGroup] ? 1 : share), total > saturation * slots};
        }
    }
    return {slots, false};
}

// Each term is a bound: a class and a group work off what is ahead in their slots and, while demand
// stays below the capacity, so does the whole pool.
core::Duration SharePolicy::expectedWait(const WaitingRequest &request, const WorkAhead &work,
                                         const GroupSlots &own, double slots) const
{
    const double classSlots = own.slots / static_cast<double>(work.classesOfGroup);
    core::Duration ahead =
            std::min(scaled(work.sameClass, 1 / classSlots), scaled(work.sameGroup, 1 / own.slots));
    if (!own.saturated)
        ahead = std::min(ahead, scaled(work.all, 1 / slots));
    return ahead + scaled(request.serviceTime, 1 / slots);
}

Verdict SharePolicy::judge(const WaitingRequest &request, std::span<const WaitingRequest> waiting,
                           double slots, core::TimePoint now)
{
    Class &entry = this->classes[request.classId];
    Group &group = this->groups[entry.group];
    const WorkAhead work = this->workAhead(request, waiting, now);
    group.serviceTime = request.serviceTime;
    GroupSlots own = this->slotsOf(entry.group, slots, now);
    own.slots = std::max(own.slots, leastSlots);
    const double classSlots = own.slots / static_cast<double>(work.classesOfGroup);
    const core::Duration slack = std::max(scaled(request.targetAt - now - request.latency,
                                                 request.takesPromise ? 1 : usableSlack),
                                          scaled(request.serviceTime, shortWaitPart));
    core::Duration wait = this->expectedWait(request, work, own, slots);
    if (!request.takesPromise) {
        const auto returns = static_cast<double>(entry.promises.openUntil(now, now + slack));
        wait += scaled(request.serviceTime, this->options.expectedReturns * returns / classSlots);
    }
    const bool inTime = wait <= slack && now + wait + request.latency <= request.deadline;
    if (request.mayWait && inTime)
        return Verdict{true, {}};
    if (!request.mayWait)
        return Verdict{false, std::max<core::Duration>(minRetryAfter, wait)};
    const core::Duration earliest = std::max<core::Duration>(minRetryAfter, wait - slack);
    const core::Duration interval =
            scaled(request.serviceTime, 1 / (classSlots * this->options.promisedShare));
    const core::Duration honoured = (request.deadline - now) / honouredPart;
    return Verdict{false, entry.promises.book(earliest, interval, honoured, this->options, now)};
}

std::vector<RouteShare> SharePolicy::shares(core::TimePoint now) const
{
    const double weight = this->scale.weight(now);
    std::vector<RouteShare> result;
    for (const Group &group : this->groups) {
        result.push_back(RouteShare{group.route, group.priority, group.asked / weight,
                                    group.granted / weight, this->effectiveShare(group), 0});
    }
    for (const Class &entry : this->classes) {
        result[entry.group].promised +=
                entry.promises.openUntil(now, now + this->options.promiseHorizon);
    }
    return result;
}

} // namespace amaranthdale::admission
