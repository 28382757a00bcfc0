// Member list, suspicions and rendezvous hashing.
#include "amaranthdale/membership/members.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace amaranthdale::membership {

namespace {

constexpr std::uint64_t taskHashSeed = 17;
constexpr double minWeight = 0.01;

// Tasks go to members with at least this share of the largest number of cores. Smaller ones are
// overloaded by the requests of a single service.
constexpr double minRelativeCores = 0.5;

// Weighted rendezvous hashing: the probability of the highest score is proportional to the cores.
double score(const Member &member, std::string_view task)
{
    const std::string text = member.name.value + '/' + std::string(task);
    const double uniform = (static_cast<double>(core::stableHash(text, taskHashSeed)) + 1) / 0x1p64;
    const double weight = std::max(member.cores, minWeight);
    return weight / -std::log(std::min(uniform, 1 - 1e-12));
}

} // namespace

bool Members::isSuspected(const Suspicions &suspicions, InstanceRole role, const Member &member,
                          core::TimePoint now) const
{
    if (member.name == this->own.name)
        return false;
    const auto found = suspicions.find({role, member.name});
    return found != suspicions.end() && now < found->second.until;
}

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
        std::erase_if(current.suspicions, [now](const auto &entry) {
            return entry.second.until + entry.second.length <= now;
        });
        if (current.peakCount == 0)
            current.firstListAt = now;
        const bool outdated = now - current.peakAt > this->limits.countRetention;
        if (count < current.peakCount && !outdated)
            return;
        current.peakCount = count;
        current.peakAt = now;
    });
}

void Members::suspect(InstanceRole role, const core::InstanceName &name, core::TimePoint now)
{
    this->state.with([&](State &current) {
        Suspicion &suspicion = current.suspicions[{role, name}];
        if (now < suspicion.until)
            return; // The message was in transit when the suspicion began.
        const bool repeated = suspicion.length > core::Duration::zero()
                && now < suspicion.until + suspicion.length;
        const core::Duration first =
                role != InstanceRole::Slots ? this->limits.relaySuspicion : this->limits.suspicion;
        suspicion.length =
                repeated ? std::min(2 * suspicion.length, this->limits.maxSuspicion) : first;
        suspicion.until = now + suspicion.length;
    });
}

// This instance is never suspected, so its own data centre always has a relay.
Member Members::selectRelay(core::TimePoint now) const
{
    return this->selectFor(InstanceRole::Relay, this->own.dataCentre, now).value_or(this->own);
}

std::optional<Member> Members::selectFor(InstanceRole role, const core::DataCentreName &dataCentre,
                                         core::TimePoint now,
                                         const core::InstanceName &excluded) const
{
    return this->state.with([&](const State &current) -> std::optional<Member> {
        const Member *relay = nullptr;
        for (const Member &member : current.members) {
            if (member.dataCentre != dataCentre || member.name == excluded
                || this->isSuspected(current.suspicions, role, member, now))
                continue;
            const bool better = relay == nullptr || member.cores > relay->cores
                    || (member.cores == relay->cores && member.name < relay->name);
            if (better)
                relay = &member;
        }
        return relay == nullptr ? std::nullopt : std::optional(*relay);
    });
}

std::optional<Member> Members::selectStoreReader(core::TimePoint now,
                                                 const core::InstanceName &excluded) const
{
    std::vector<Member> relays;
    for (const core::DataCentreName &dataCentre : this->dataCentres()) {
        if (auto relay = this->selectFor(InstanceRole::Relay, dataCentre, now))
            relays.push_back(std::move(*relay));
    }
    return this->state.with([&](const State &current) -> std::optional<Member> {
        const Member *reader = nullptr;
        for (const Member &relay : relays) {
            if (relay.name == excluded
                || this->isSuspected(current.suspicions, InstanceRole::StoreReader, relay, now))
                continue;
            const bool better = reader == nullptr || relay.cores > reader->cores
                    || (relay.cores == reader->cores && relay.name < reader->name);
            if (better)
                reader = &relay;
        }
        return reader == nullptr ? std::nullopt : std::optional(*reader);
    });
}

const Member *Members::selectAssignee(const std::vector<Member> &members, std::string_view task,
                                      const std::function<bool(const Member &)> &isEligible)
{
    std::vector<const Member *> eligible;
    double maxCores = 0;
    for (const Member &member : members) {
        if (!isEligible(member))
            continue;
        eligible.push_back(&member);
        maxCores = std::max(maxCores, member.cores);
    }
    const Member *best = nullptr;
    double highestScore = 0;
    for (const Member *member : eligible) {
        if (member->cores < minRelativeCores * maxCores)
            continue;
        const double memberScore = score(*member, task);
        if (best == nullptr || memberScore > highestScore) {
            best = member;
            highestScore = memberScore;
        }
    }
    return best;
}

std::optional<Member> Members::assignee(std::string_view task,
                                        const std::optional<core::DataCentreName> &dataCentre,
                                        core::TimePoint now) const
{
    return this->state.with([&](const State &current) -> std::optional<Member> {
        const Member *best = selectAssignee(current.members, task, [&](const Member &member) {
            return (!dataCentre || member.dataCentre == *dataCentre)
                    && !this->isSuspected(current.suspicions, InstanceRole::Slots, member, now);
        });
        return best == nullptr ? std::nullopt : std::optional(*best);
    });
}

bool Members::isAssigned(std::string_view task,
                         const std::optional<core::DataCentreName> &dataCentre,
                         core::TimePoint now) const
{
    return this->state.with([&](const State &current) {
        if (current.peakCount == 0 || now - current.firstListAt < this->limits.countSettleTime)
            return false;
        const Member *best = selectAssignee(current.members, task, [&](const Member &member) {
            return !dataCentre || member.dataCentre == *dataCentre;
        });
        return best != nullptr && best->name == this->own.name;
    });
}

std::vector<core::DataCentreName> Members::dataCentres() const
{
    return this->state.with([](const State &current) {
        std::set<core::DataCentreName> names;
        for (const Member &member : current.members)
            names.insert(member.dataCentre);
        return std::vector(names.begin(), names.end());
    });
}

unsigned Members::count(core::TimePoint now) const
{
    return this->state.with([&](const State &current) {
        if (current.peakCount == 0 || now - current.firstListAt < this->limits.countSettleTime)
            return std::max(this->limits.defaultCount, current.peakCount);
        const bool outdated = now - current.peakAt > this->limits.countRetention;
        return outdated ? static_cast<unsigned>(current.members.size()) : current.peakCount;
    });
}

bool Members::hasList() const
{
    return this->state.with([](const State &current) { return current.peakCount > 0; });
}

std::vector<Member> Members::list() const
{
    return this->state.with([](const State &current) { return current.members; });
}

} // namespace amaranthdale::membership
