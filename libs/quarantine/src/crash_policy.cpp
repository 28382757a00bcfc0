// Suspected requests, their losses and their blocks.
#include "amaranthdale/quarantine/crash_policy.h"

#include "amaranthdale/core/hash.h"

#include <algorithm>

namespace amaranthdale::quarantine {

ServerRunId serverRunId(const ServerRun &run)
{
    return core::stableHash(run.server.value, run.incarnation);
}

CrashPolicy::CrashPolicy(CrashPolicyOptions policyOptions) : options(policyOptions) { }

std::optional<Block> CrashPolicy::onLost(Fingerprint fingerprint, const ServerRun &run,
                                         core::TimePoint now)
{
    if (this->blockedFor(fingerprint, now))
        return std::nullopt;
    Suspect &suspect = this->findOrAdd(fingerprint, now);
    this->addLoss(suspect, Loss{serverRunId(run), now, false}, now);
    std::vector<Pending> &lost = this->pending[run];
    const bool isKnown = std::any_of(lost.begin(), lost.end(), [fingerprint](const Pending &other) {
        return other.fingerprint == fingerprint;
    });
    if (!isKnown && lost.size() < maxPendingPerRun)
        lost.push_back(Pending{fingerprint, now});
    return this->evaluate(fingerprint, suspect, now);
}

CrashPolicy::Confirmed CrashPolicy::onServerEnded(const ServerRun &run, core::TimePoint now)
{
    Confirmed confirmed;
    const auto ended = this->pending.extract(run);
    if (ended.empty())
        return confirmed;
    for (const Pending &lost : ended.mapped()) {
        const auto found = this->suspects.find(lost.fingerprint);
        if (found == this->suspects.end() || now - lost.at >= this->options.confirmationTime)
            continue;
        Suspect &suspect = found->second;
        const ServerRunId server = serverRunId(run);
        suspect.reported = true;
        confirmed.crashes.push_back(Crash{lost.fingerprint, server, now - lost.at});
        if (this->blockedFor(lost.fingerprint, now))
            continue;
        this->addLoss(suspect, Loss{server, lost.at, true}, now);
        if (const auto block = this->evaluate(lost.fingerprint, suspect, now))
            confirmed.blocks.push_back(*block);
    }
    return confirmed;
}

void CrashPolicy::onServerLeft(const ServerRun &run)
{
    const auto left = this->pending.extract(run);
    if (left.empty())
        return;
    for (const Pending &lost : left.mapped()) {
        const auto found = this->suspects.find(lost.fingerprint);
        if (found != this->suspects.end())
            std::erase_if(found->second.losses, [id = serverRunId(run)](const Loss &loss) {
                return loss.server == id && !loss.confirmed;
            });
    }
}

std::vector<ServerRun> CrashPolicy::unconfirmed(core::TimePoint now) const
{
    std::vector<ServerRun> runs;
    for (const auto &[run, lost] : this->pending) {
        if (now - lost.back().at < this->options.confirmationTime)
            runs.push_back(run);
    }
    return runs;
}

bool CrashPolicy::onAnswered(Fingerprint fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end())
        return false;
    const bool reported = found->second.reported;
    this->suspects.erase(found);
    return reported;
}

std::optional<core::Duration> CrashPolicy::blockedFor(Fingerprint fingerprint,
                                                      core::TimePoint now) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.blockedUntil <= now)
        return std::nullopt;
    return found->second.blockedUntil - now;
}

std::vector<Block> CrashPolicy::blocks(core::TimePoint now) const
{
    std::vector<Block> found;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (suspect.blockedUntil > now)
            found.push_back(Block{fingerprint, suspect.level, suspect.blockedUntil - now});
    }
    return found;
}

std::optional<Block> CrashPolicy::merge(const Crash &crash, core::TimePoint now)
{
    if (crash.age >= this->options.memory || this->blockedFor(crash.fingerprint, now))
        return std::nullopt;
    Suspect &suspect = this->findOrAdd(crash.fingerprint, now);
    this->addLoss(suspect, Loss{crash.server, now - crash.age, true}, now);
    return this->evaluate(crash.fingerprint, suspect, now);
}

bool CrashPolicy::merge(const Block &block, core::TimePoint now)
{
    if (block.remaining <= core::Duration::zero() || block.level == 0)
        return false;
    const bool wasBlocked = this->blockedFor(block.fingerprint, now).has_value();
    Suspect &suspect = this->findOrAdd(block.fingerprint, now);
    suspect.level = std::max(suspect.level, block.level);
    suspect.blockedUntil = std::max(
            suspect.blockedUntil, now + std::min(block.remaining, this->options.blockTimes.back()));
    suspect.losses.clear();
    return !wasBlocked;
}

void CrashPolicy::expire(core::TimePoint now)
{
    std::erase_if(this->pending, [&](const auto &entry) {
        return now - entry.second.back().at >= this->options.confirmationTime;
    });
    for (auto &[fingerprint, suspect] : this->suspects)
        this->dropOutdated(suspect, now);
    std::erase_if(this->suspects,
                  [&](const auto &entry) { return this->isObsolete(entry.second, now); });
}

CrashPolicy::Suspect &CrashPolicy::findOrAdd(Fingerprint fingerprint, core::TimePoint now)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() && this->suspects.size() >= this->options.maxFingerprints)
        this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(),
                                              [](const auto &a, const auto &b) {
                                                  return a.second.changedAt < b.second.changedAt;
                                              }));
    Suspect &suspect = this->suspects[fingerprint];
    suspect.changedAt = now;
    return suspect;
}

// Two losses on one run count once: a server ends once.
void CrashPolicy::addLoss(Suspect &suspect, const Loss &loss, core::TimePoint now) const
{
    this->dropOutdated(suspect, now);
    const auto known = std::find_if(suspect.losses.begin(), suspect.losses.end(),
                                    [&](const Loss &other) { return other.server == loss.server; });
    if (known != suspect.losses.end()) {
        known->confirmed = known->confirmed || loss.confirmed;
        return;
    }
    suspect.losses.push_back(loss);
}

void CrashPolicy::dropOutdated(Suspect &suspect, core::TimePoint now) const
{
    std::erase_if(suspect.losses, [&](const Loss &loss) {
        return now - loss.at
                >= (loss.confirmed ? this->options.memory : this->options.confirmationTime);
    });
}

// A request that was blocked is watched for as long again as the longest block.
bool CrashPolicy::isObsolete(const Suspect &suspect, core::TimePoint now) const
{
    return suspect.losses.empty()
            && (suspect.level == 0
                || now >= suspect.blockedUntil + this->options.blockTimes.back());
}

std::optional<Block> CrashPolicy::evaluate(Fingerprint fingerprint, Suspect &suspect,
                                           core::TimePoint now)
{
    const auto crashes = static_cast<std::size_t>(
            std::count_if(suspect.losses.begin(), suspect.losses.end(),
                          [](const Loss &loss) { return loss.confirmed; }));
    const bool proven =
            suspect.losses.size() >= this->options.minLosses && crashes >= this->options.minCrashes;
    const bool again = suspect.level > 0 && !suspect.losses.empty();
    if (!proven && !again)
        return std::nullopt;
    ++suspect.level;
    const std::size_t index = std::min<std::size_t>(suspect.level, this->options.blockTimes.size());
    suspect.blockedUntil = now + this->options.blockTimes[index - 1];
    suspect.losses.clear();
    return Block{fingerprint, suspect.level, this->options.blockTimes[index - 1]};
}

} // namespace amaranthdale::quarantine
