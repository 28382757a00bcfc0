// Shares crashes and blocks with the other instances.
#include "amaranthdale/quarantine/quarantine_service.h"

#include "amaranthdale/quarantine/crash_messages.h"

#include "amaranthdale/tables/guarded.h"

#include <algorithm>
#include <atomic>
#include <cstdio>

namespace amaranthdale::quarantine {

namespace {

// While a request is blocked, one other instance is told of it this often, in turn.
constexpr core::Duration announcementInterval = std::chrono::seconds(2);

struct State
{
    explicit State(const CrashPolicyOptions &options) : policy(options) { }

    CrashPolicy policy;
    bool ticking = false;       ///< A timer is set.
    std::size_t nextMember = 0; ///< Counts the announcements.
};

std::string formatFingerprint(Fingerprint fingerprint)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text;
}

class Service : public QuarantineService, public std::enable_shared_from_this<Service>
{
public:
    Service(clock::Clock &serviceClock, membership::Members &knownMembers,
            CrashChannel &crashChannel, log::EventLog &eventLog, const CrashPolicyOptions &options)
        : clock(serviceClock), members(knownMembers), channel(crashChannel), events(eventLog),
          state(tables::LockRank::Reports, options)
    { }

    void setBlockListener(std::function<void()> onBlocked) override
    {
        this->blockListener = std::move(onBlocked);
    }

    bool isWatching() const override { return this->watching; }

    std::optional<core::Duration> blockedFor(Fingerprint fingerprint) const override
    {
        if (!this->watching)
            return std::nullopt;
        const core::TimePoint now = this->clock.now();
        return this->state.with(
                [&](const State &current) { return current.policy.blockedFor(fingerprint, now); });
    }

    void onLost(Fingerprint fingerprint, const ServerRun &run) override
    {
        CrashMessage message;
        const core::TimePoint now = this->clock.now();
        this->change([&](CrashPolicy &policy) {
            if (const auto block = policy.onLost(fingerprint, run, now))
                message.blocks.push_back(*block);
        });
        this->report(message);
    }

    void onAnswered(Fingerprint fingerprint) override
    {
        if (!this->watching)
            return;
        CrashMessage message;
        this->change([&](CrashPolicy &policy) {
            if (policy.onAnswered(fingerprint))
                message.cleared.push_back(fingerprint);
        });
        this->report(message);
    }

    std::vector<ServerRun> unconfirmed() override
    {
        if (!this->watching)
            return {};
        const core::TimePoint now = this->clock.now();
        return this->state.with(
                [&](const State &current) { return current.policy.unconfirmed(now); });
    }

    void onServerEnded(const ServerRun &run) override
    {
        CrashMessage message;
        const core::TimePoint now = this->clock.now();
        this->change([&](CrashPolicy &policy) {
            auto confirmed = policy.onServerEnded(run, now);
            message.crashes = std::move(confirmed.crashes);
            message.blocks = std::move(confirmed.blocks);
        });
        for (const Crash &crash : message.crashes)
            this->events.write(log::Severity::Info, "server-ended-with-request",
                               {{"server", run.server.value},
                                {"fingerprint", formatFingerprint(crash.fingerprint)}});
        this->report(message);
    }

    void onServerLeft(const ServerRun &run) override
    {
        this->change([&](CrashPolicy &policy) { policy.onServerLeft(run); });
    }

    void onMessage(std::string_view bytes) override
    {
        const auto message = decodeCrashMessage(bytes);
        if (!message)
            return;
        const core::TimePoint now = this->clock.now();
        std::vector<Block> started;
        this->change([&](CrashPolicy &policy) {
            for (const Fingerprint fingerprint : message->cleared)
                policy.clear(fingerprint);
            for (const Crash &crash : message->crashes) {
                if (const auto block = policy.merge(crash, now))
                    started.push_back(*block);
            }
            for (const Block &block : message->blocks) {
                if (policy.merge(block, now))
                    started.push_back(block);
            }
        });
        this->announceLocally(started);
    }

private:
    template<class Function>
    void change(Function function)
    {
        const bool startTimer = this->state.with([&](State &current) {
            function(current.policy);
            this->watching = !current.policy.isEmpty();
            return this->watching && !std::exchange(current.ticking, true);
        });
        if (startTimer)
            this->scheduleTick();
    }

    // Tells all other instances what this one has observed.
    void report(const CrashMessage &message)
    {
        if (message.isEmpty())
            return;
        this->announceLocally(message.blocks);
        const std::string bytes = encodeCrashMessage(message);
        for (const membership::Member &member : this->members.list()) {
            if (member.name != this->members.self().name)
                this->channel.send(member.peer, bytes);
        }
    }

    void announceLocally(const std::vector<Block> &started)
    {
        for (const Block &block : started)
            this->events.write(
                    log::Severity::Warning, "request-blocked",
                    {{"fingerprint", formatFingerprint(block.fingerprint)},
                     {"level", std::to_string(block.level)},
                     {"seconds",
                      std::to_string(
                              std::chrono::ceil<std::chrono::seconds>(block.remaining).count())}});
        if (!started.empty() && this->blockListener)
            this->blockListener();
    }

    void scheduleTick()
    {
        this->clock.schedule(this->clock.now() + announcementInterval,
                             [weak = this->weak_from_this()] {
                                 if (const auto self = weak.lock())
                                     self->tick();
                             });
    }

    void tick()
    {
        const core::TimePoint now = this->clock.now();
        CrashMessage message;
        std::size_t turn = 0;
        const bool goOn = this->state.with([&](State &current) {
            current.policy.expire(now);
            this->watching = !current.policy.isEmpty();
            message.blocks = current.policy.blocks(now);
            turn = current.nextMember++;
            current.ticking = this->watching;
            return current.ticking;
        });
        if (!message.blocks.empty())
            this->tellOne(message, turn);
        if (goOn)
            this->scheduleTick();
    }

    void tellOne(const CrashMessage &message, std::size_t turn)
    {
        std::vector<membership::Member> others = this->members.list();
        std::erase_if(others, [this](const membership::Member &member) {
            return member.name == this->members.self().name;
        });
        if (!others.empty())
            this->channel.send(others[turn % others.size()].peer, encodeCrashMessage(message));
    }

    clock::Clock &clock;
    membership::Members &members;
    CrashChannel &channel;
    log::EventLog &events;
    std::function<void()> blockListener;
    std::atomic<bool> watching{false}; ///< A request is suspected.
    tables::Guarded<State> state;
};

} // namespace

std::shared_ptr<QuarantineService> makeQuarantineService(clock::Clock &clock,
                                                         membership::Members &members,
                                                         CrashChannel &channel,
                                                         log::EventLog &events,
                                                         CrashPolicyOptions options)
{
    return std::make_shared<Service>(clock, members, channel, events, options);
}

} // namespace amaranthdale::quarantine
