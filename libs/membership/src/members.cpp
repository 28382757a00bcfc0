// Bookkeeping of members and rendezvous hashing.
#include "amaranthdale/membership/members.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cmath>

namespace amaranthdale::membership {

namespace {

constexpr std::uint64_t taskSeed = 17;
constexpr double leastCores = 0.01;

// Weighted rendezvous hashing: the chance to score highest is proportional to the cores.
double score(const Member &member, std::string_view task)
{
    const std::string text = member.name.value + '/' + std::string(task);
    const double unit = (static_cast<double>(core::stableHash(text, taskSeed)) + 1) / 0x1p64;
    const double weight = std::max(member.cores, leastCores);
    return weight / -std::log(std::min(unit, 1 - 1e-12));
}

bool isSuspected(const std::map<core::InstanceName, core::TimePoint> &suspectedUntil,
                 const Member &member, core::TimePoint now)
{
    const auto found = suspectedUntil.find(member.name);
    return found != suspectedUntil.end() && now < found->second;
}

} // namespace

Members::Members(Member ownMember, MembersLimits membersLimits)
    : own(std::move(ownMember)), limits(membersLimits), state(tables::LockRank::Membership)
{
    this->state.with([this](State &current) { current.members.push_back(this->own); });
}

void Members::update(std::vector<Member> listed, core::TimePoint now)
{
    std::erase_if(listed, [this](const Member &member) { return member.name == this->own.name; });
    listed.push_back(this->own);
    std::sort(listed.begin(), listed.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    const auto count = static_cast<unsigned>(listed.size());
    this->state.with([&](State &current) {
        current.members = std::move(listed);
        std::erase_if(current.suspectedUntil,
                      [now](const auto &entry) { return entry.second <= now; });
        const bool outdated = now - current.peakAt > this->limits.countMemory;
        if (count < current.peakCount && !outdated)
            return;
        current.peakCount = count;
        current.peakAt = now;
    });
}

void Members::suspect(const core::InstanceName &name, core::TimePoint now)
{
    this->state.with(
            [&](State &current) { current.suspectedUntil[name] = now + this->limits.suspicion; });
}

void Members::trust(const core::InstanceName &name)
{
    this->state.with([&name](State &current) { current.suspectedUntil.erase(name); });
}

Member Members::strongestNearby(core::TimePoint now) const
{
    return this->state.with([&](const State &current) {
        const Member *strongest = &this->own;
        for (const Member &member : current.members) {
            if (member.dataCentre != this->own.dataCentre
                || (member.name != this->own.name
                    && isSuspected(current.suspectedUntil, member, now)))
                continue;
            const bool better = member.cores > strongest->cores
                    || (member.cores == strongest->cores && member.name < strongest->name);
            if (better)
                strongest = &member;
        }
        return *strongest;
    });
}

Member Members::assignee(std::string_view task, core::TimePoint now) const
{
    return this->state.with([&](const State &current) {
        const Member *best = &this->own;
        double most = score(this->own, task);
        for (const Member &member : current.members) {
            if (member.name == this->own.name || isSuspected(current.suspectedUntil, member, now))
                continue;
            const double candidate = score(member, task);
            if (candidate > most) {
                best = &member;
                most = candidate;
            }
        }
        return *best;
    });
}

unsigned Members::count(core::TimePoint now) const
{
    return this->state.with([&](const State &current) {
        if (current.peakCount == 0)
            return this->limits.assumedCount;
        const bool outdated = now - current.peakAt > this->limits.countMemory;
        return outdated ? static_cast<unsigned>(current.members.size()) : current.peakCount;
    });
}

bool Members::isKnown() const
{
    return this->state.with([](const State &current) { return current.peakCount > 0; });
}

std::vector<Member> Members::list() const
{
    return this->state.with([](const State &current) { return current.members; });
}

} // namespace amaranthdale::membership
