// Messages between holders and lenders of tokens, and the requests that wait for them.
#include "amaranthdale/quotas/quota_service.h"

#include "quota_state.h"

#include "amaranthdale/tables/guarded.h"

#include <algorithm>
#include <atomic>

namespace amaranthdale::quotas {

namespace {

using Callbacks = std::vector<std::function<void()>>;

// Asks of one group are at least this far apart, so that an instance sends at most 200 a second
// for each group.
constexpr core::Duration askInterval = std::chrono::milliseconds(5);

// The list of members is read this often, or when a lender doesn't respond.
constexpr core::Duration selectionInterval = std::chrono::milliseconds(400);

// This instance as a member of its own lender.
const std::string ownMember = "own";

// What is done after the lock was released.
struct Actions
{
    std::vector<std::pair<core::Endpoint, std::string>> messages;
    Callbacks callbacks;
    std::vector<std::pair<unsigned, core::Duration>> laterAsks; ///< Group and delay.
    std::uint64_t lent = 0;
};

class Service : public QuotaService, public std::enable_shared_from_this<Service>
{
public:
    Service(clock::Clock &serviceClock, membership::Members &knownMembers,
            QuotaChannel &quotaChannel, std::uint64_t lenderId, QuotaTiming quotaTiming)
        : clock(serviceClock), members(knownMembers), channel(quotaChannel), timing(quotaTiming),
          state(tables::LockRank::Reports)
    {
        this->state.with([&](State &current) {
            for (unsigned number = 0; number < groupCount; ++number)
                current.groups.emplace_back(number, lenderId, quotaTiming);
        });
    }

    void setOrganisations(
            const std::optional<std::vector<catalog::Organisation>> &organisations) override
    {
        Actions actions;
        const bool startTicking = this->state.with([&](State &current) {
            current.configured = true;
            this->replaceLimits(current, organisations, actions);
            this->limited = !current.accounts.empty();
            const bool start = !current.accounts.empty() && !current.ticking;
            current.ticking = current.ticking || start;
            return start;
        });
        this->perform(std::move(actions));
        if (startTicking)
            this->tick();
    }

    QuotaAnswer tryTake(const core::OrganisationName &organisation, core::TimePoint now) override
    {
        if (!this->limited)
            return {};
        return this->state.with([&](State &current) -> QuotaAnswer {
            const auto found = current.accounts.find(organisation);
            if (found == current.accounts.end())
                return {};
            this->activate(current, found->second);
            return found->second->holder.tryTake(now);
        });
    }

    void whenDecided(const core::OrganisationName &organisation,
                     std::function<void()> proceed) override
    {
        const core::TimePoint now = this->clock.uptime();
        std::optional<unsigned> group;
        Actions actions;
        this->state.with([&](State &current) {
            const auto found = current.accounts.find(organisation);
            if (found == current.accounts.end() || !found->second->holder.isUndecided(now)) {
                actions.callbacks.push_back(std::move(proceed));
                return;
            }
            found->second->waiters.push_back(
                    {now + this->timing.maxDecisionTime, std::move(proceed)});
            this->activate(current, found->second);
            group = groupOf(found->second->id);
        });
        this->perform(std::move(actions));
        if (group)
            this->ask(*group);
    }

    void giveBack(const core::OrganisationName &organisation, const Token &token,
                  core::TimePoint now) override
    {
        this->state.with([&](State &current) {
            const auto found = current.accounts.find(organisation);
            if (found == current.accounts.end())
                return;
            found->second->holder.giveBack(token, now);
            this->activate(current, found->second);
        });
    }

    void onMessage(const core::Endpoint &from, std::string_view bytes) override
    {
        const auto message = decodeTokenMessage(bytes);
        if (!message)
            return;
        if (const auto *ask = std::get_if<TokenAsk>(&*message))
            return this->onAsk(from, *ask);
        this->onReply(from, std::get<TokenReply>(*message));
    }

    void stop() override
    {
        this->state.with([](State &current) {
            for (Group &group : current.groups)
                group.lender.close();
        });
    }

private:
    void replaceLimits(State &current,
                       const std::optional<std::vector<catalog::Organisation>> &organisations,
                       Actions &actions)
    {
        std::vector<std::unordered_map<OrganisationId, QuotaLimit>> limits(groupCount);
        std::unordered_map<core::OrganisationName, std::shared_ptr<Account>> next;
        current.byId.clear();
        if (organisations) {
            for (const catalog::Organisation &organisation : *organisations) {
                if (organisation.ratePerSecond <= 0)
                    continue;
                const OrganisationId id = organisationId(organisation.name);
                limits[groupOf(id)][id] = {organisation.ratePerSecond, organisation.burst};
                const auto known = current.accounts.find(organisation.name);
                next[organisation.name] = known != current.accounts.end()
                        ? known->second
                        : std::make_shared<Account>(id, this->timing);
                current.byId[id] = next[organisation.name];
            }
        }
        for (auto &[name, account] : current.accounts) {
            if (!next.contains(name))
                this->releaseWaiters(*account, account->waiters.size(), actions);
        }
        current.accounts = std::move(next);
        for (unsigned number = 0; number < groupCount; ++number) {
            Group &group = current.groups[number];
            group.limited = !limits[number].empty();
            group.lender.setLimits(limits[number]);
            std::erase_if(group.active, [&](const std::shared_ptr<Account> &account) {
                return !current.byId.contains(account->id);
            });
        }
    }

    void activate(State &current, const std::shared_ptr<Account> &account)
    {
        if (std::exchange(account->active, true))
            return;
        current.groups[groupOf(account->id)].active.push_back(account);
    }

    static void releaseWaiters(Account &account, std::size_t count, Actions &actions)
    {
        const auto end = account.waiters.begin()
                + static_cast<std::ptrdiff_t>(std::min(count, account.waiters.size()));
        for (auto waiter = account.waiters.begin(); waiter != end; ++waiter)
            actions.callbacks.push_back(std::move(waiter->proceed));
        account.waiters.erase(account.waiters.begin(), end);
    }

    // The number of instances that the quotas are divided by.
    unsigned instanceCount()
    {
        const unsigned count = this->members.count(this->clock.now());
        if (!this->members.hasList())
            return count;
        const core::TimePoint now = this->clock.uptime();
        const bool settled =
                this->state.with([&](State &current) { return current.instances.isSettled(now); });
        if (settled)
            return count;
        const auto listed = static_cast<unsigned>(this->members.list().size());
        return this->state.with(
                [&](State &current) { return current.instances.count(listed, count, now); });
    }

    // Runs while an organisation has a limit.
    void tick()
    {
        const core::TimePoint now = this->clock.uptime();
        Actions actions;
        const bool goOn = this->state.with([&](State &current) {
            for (Group &group : current.groups)
                this->expireWaiters(group, now, actions);
            current.ticking = !current.accounts.empty();
            return current.ticking;
        });
        this->perform(std::move(actions));
        if (!goOn)
            return;
        this->selectLenders(now);
        for (unsigned number = 0; number < groupCount; ++number)
            this->ask(number);
        this->clock.schedule(this->clock.now() + this->timing.tick,
                             [weak = this->weak_from_this()] {
                                 if (const auto self = weak.lock())
                                     self->tick();
                             });
    }

    void expireWaiters(Group &group, core::TimePoint now, Actions &actions)
    {
        for (const auto &account : group.active) {
            // Waiters are in order of their time.
            const auto due = std::find_if(account->waiters.begin(), account->waiters.end(),
                                          [&](const Waiter &waiter) { return now < waiter.until; });
            this->releaseWaiters(*account, static_cast<std::size_t>(due - account->waiters.begin()),
                                 actions);
        }
        std::erase_if(group.active, [&](const std::shared_ptr<Account> &account) {
            const bool idle = account->waiters.empty() && account->holder.isIdle(now);
            account->active = !idle;
            return idle;
        });
    }

    void selectLenders(core::TimePoint now)
    {
        const bool due = this->state.with([&](State &current) {
            if (now < current.nextSelectionAt)
                return false;
            current.nextSelectionAt = now + selectionInterval;
            return true;
        });
        if (!due || !this->members.hasList())
            return;
        const std::vector<membership::Member> list = this->members.list();
        this->state.with([&](State &current) {
            for (Group &group : current.groups) {
                if (group.limited)
                    group.pledge.selectLender(list, now);
            }
        });
    }

    // Asks the lender of a group if tokens are needed or the pledge is due.
    void ask(unsigned number)
    {
        const core::TimePoint now = this->clock.uptime();
        const bool needsLender = this->state.with([&](State &current) {
            Group &group = current.groups[number];
            group.pledge.mayAsk(now); // Notices that an ask was not answered.
            return group.limited && !group.pledge.lender();
        });
        const std::vector<membership::Member> list = needsLender && this->members.hasList()
                ? this->members.list()
                : std::vector<membership::Member>();
        const unsigned instances = this->instanceCount();
        Actions actions;
        this->state.with([&](State &current) {
            if (needsLender)
                current.groups[number].pledge.selectLender(list, now);
            this->prepareAsk(current, number, instances, now, actions);
        });
        this->perform(std::move(actions));
    }

    void prepareAsk(State &current, unsigned number, unsigned instances, core::TimePoint now,
                    Actions &actions)
    {
        Group &group = current.groups[number];
        if (!group.limited || !group.pledge.mayAsk(now))
            return;
        const bool renewalDue = group.pledge.isRenewalDue(now);
        std::vector<AskEntry> entries = this->makeEntries(group, now);
        if (entries.empty() && !renewalDue)
            return;
        if (now < group.nextAskAt)
            return this->scheduleAsk(group, number, now, actions);
        for (AskEntry &entry : entries) {
            const auto returns = current.byId[entry.organisation]->holder.takeReturns(
                    group.pledge.returnTo(), now);
            entry.returned = static_cast<std::uint16_t>(returns.count);
            entry.returnedAge = returns.age;
        }
        group.nextAskAt = now + askInterval;
        const membership::Member lender = *group.pledge.lender();
        TokenAsk ask = group.pledge.beginAsk(now);
        ask.entries = std::move(entries);
        if (lender.name != this->members.self().name) {
            actions.messages.emplace_back(lender.peer, encodeTokenMessage(ask));
            return;
        }
        const TokenReply reply = this->lend(group, ownMember, ask, instances, now, actions);
        this->applyReply(current, reply, now, actions);
    }

    // Accounts that need tokens or have some to return, at most as many as fit into a message.
    std::vector<AskEntry> makeEntries(Group &group, core::TimePoint now)
    {
        std::vector<AskEntry> entries;
        const std::size_t count = group.active.size();
        const std::uint64_t returnTo = group.pledge.returnTo();
        for (std::size_t step = 0; step < count && entries.size() < maxMessageEntries; ++step) {
            Account &account = *group.active[(group.firstEntry + step) % count];
            const unsigned want =
                    account.holder.missing(static_cast<unsigned>(account.waiters.size()), now);
            if (want > 0 || account.holder.hasReturns(returnTo, now))
                entries.push_back({account.id, static_cast<std::uint16_t>(want), 0});
        }
        if (entries.size() == maxMessageEntries)
            group.firstEntry = (group.firstEntry + maxMessageEntries) % count;
        return entries;
    }

    static void scheduleAsk(Group &group, unsigned number, core::TimePoint now, Actions &actions)
    {
        if (std::exchange(group.askScheduled, true))
            return;
        actions.laterAsks.emplace_back(number, group.nextAskAt - now);
    }

    void askAsScheduled(unsigned number)
    {
        this->state.with([&](State &current) { current.groups[number].askScheduled = false; });
        this->ask(number);
    }

    TokenReply lend(Group &group, const std::string &member, const TokenAsk &ask,
                    unsigned instances, core::TimePoint now, Actions &actions)
    {
        const std::uint64_t before = group.lender.tokensLent();
        TokenReply reply = group.lender.answer(member, ask, instances, now);
        actions.lent += group.lender.tokensLent() - before;
        return reply;
    }

    void onAsk(const core::Endpoint &from, const TokenAsk &ask)
    {
        if (ask.group >= groupCount)
            return;
        const core::TimePoint now = this->clock.uptime();
        const unsigned instances = this->instanceCount();
        Actions actions;
        this->state.with([&](State &current) {
            // A new process knows no limits, which doesn't mean that there are none. Without a
            // reply the next lender is asked.
            if (!current.configured)
                return;
            const TokenReply reply =
                    this->lend(current.groups[ask.group], core::formatEndpoint(from), ask,
                               instances, now, actions);
            actions.messages.emplace_back(from, encodeTokenMessage(reply));
        });
        this->perform(std::move(actions));
    }

    void onReply(const core::Endpoint &from, const TokenReply &reply)
    {
        if (reply.group >= groupCount)
            return;
        const core::TimePoint now = this->clock.uptime();
        Actions actions;
        const bool accepted = this->state.with([&](State &current) {
            const auto &lender = current.groups[reply.group].pledge.lender();
            if (!lender || lender->peer != from)
                return false;
            this->applyReply(current, reply, now, actions);
            return true;
        });
        this->perform(std::move(actions));
        // Requests that arrived in the meantime, or the first pledge to this lender.
        if (accepted)
            this->ask(reply.group);
    }

    void applyReply(State &current, const TokenReply &reply, core::TimePoint now, Actions &actions)
    {
        Group &group = current.groups[reply.group];
        const auto answered = group.pledge.onReply(reply, now);
        if (!answered)
            return;
        // The lender may lend more as soon as it has this instance's share.
        const bool mayLendMore = !answered->pledged && group.pledge.mayPledge(now);
        if (mayLendMore)
            this->scheduleAsk(group, reply.group, now, actions);
        for (const ReplyEntry &entry : reply.entries) {
            const auto found = current.byId.find(entry.organisation);
            if (found == current.byId.end())
                continue;
            Account &account = *found->second;
            if (!entry.limited)
                account.holder.onUnlimited(answered->askedAt);
            else
                account.holder.onLent(entry.lent, reply.lender, answered->askedAt);
            const bool isShort = entry.comeBack > core::Duration::zero() && !mayLendMore;
            if (isShort)
                account.holder.onShort(entry.comeBack, now);
            const bool decided = !entry.limited || isShort;
            const std::size_t released =
                    decided ? account.waiters.size() : account.holder.held(now);
            this->releaseWaiters(account, released, actions);
        }
    }

    void perform(Actions actions)
    {
        for (const auto &[to, message] : actions.messages)
            this->channel.send(to, message);
        if (actions.lent > 0)
            this->channel.onLent(actions.lent);
        const core::TimePoint now = this->clock.now();
        for (auto &callback : actions.callbacks)
            this->clock.schedule(now, std::move(callback));
        for (const auto &[number, delay] : actions.laterAsks)
            this->clock.schedule(now + delay, [weak = this->weak_from_this(), group = number] {
                if (const auto self = weak.lock())
                    self->askAsScheduled(group);
            });
    }

    clock::Clock &clock;
    membership::Members &members;
    QuotaChannel &channel;
    const QuotaTiming timing;
    tables::Guarded<State> state;
    std::atomic<bool> limited{false}; ///< An organisation has a limit.
};

} // namespace

std::shared_ptr<QuotaService> makeQuotaService(clock::Clock &clock, membership::Members &members,
                                               QuotaChannel &channel, std::uint64_t lenderId,
                                               QuotaTiming timing)
{
    return std::make_shared<Service>(clock, members, channel, lenderId, timing);
}

} // namespace amaranthdale::quotas
