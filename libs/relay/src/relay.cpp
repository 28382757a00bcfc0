// Reads through the relay of the data centre, with the store as the way out.
#include "amaranthdale/relay/relay.h"

#include "record_codec.h"
#include "record_tail.h"

#include "amaranthdale/core/numbers.h"

#include <atomic>
#include <map>
#include <mutex>

namespace amaranthdale::relay {

namespace {

constexpr std::string_view endField = "End";
constexpr std::size_t mostBodyBytes = 16 * 1024 * 1024;
constexpr auto staleMargin = std::chrono::milliseconds(1);
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusUnavailable = 503;

// A read that another instance asks for.
struct ReadRequest
{
    Partition partition;
    std::uint64_t from = 0;
    core::Duration wait{};
};

std::string formatTarget(const ReadRequest &request)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    return std::string(relayPrefix) + request.partition.topic + '/'
            + std::to_string(request.partition.part) + "?from=" + std::to_string(request.from)
            + "&wait=" + std::to_string(wait.count());
}

std::optional<ReadRequest> parseTarget(std::string_view target)
{
    if (!target.starts_with(relayPrefix))
        return std::nullopt;
    target.remove_prefix(relayPrefix.size());
    const std::size_t slash = target.find('/');
    const std::size_t from = target.find("?from=");
    const std::size_t wait = target.find("&wait=");
    if (slash == std::string_view::npos || from == std::string_view::npos
        || wait == std::string_view::npos || slash > from || from > wait)
        return std::nullopt;
    constexpr std::size_t parameterSize = 6; // Of "?from=" and "&wait=".
    const auto part = core::parseWhole(target.substr(slash + 1, from - slash - 1));
    const auto offset =
            core::parseWhole(target.substr(from + parameterSize, wait - from - parameterSize));
    const auto milliseconds = core::parseWhole(target.substr(wait + parameterSize));
    if (!part || !offset || !milliseconds)
        return std::nullopt;
    ReadRequest request;
    request.partition = {std::string(target.substr(0, slash)), static_cast<unsigned>(*part)};
    request.from = *offset;
    request.wait = std::chrono::milliseconds(*milliseconds);
    return request;
}

core::HttpResponse makeBatchResponse(const Batch &batch)
{
    core::HttpResponse response =
            core::makeResponse(statusOk, encodeRecords(batch.records), "application/octet-stream");
    core::setHeader(response.headers, endField, std::to_string(batch.end));
    return response;
}

class PeerRelay : public Relay, public std::enable_shared_from_this<PeerRelay>
{
public:
    PeerRelay(RecordSource &recordStore, core::HttpSender &peerSender,
              membership::Members &knownMembers, clock::Clock &relayClock, log::EventLog &eventLog,
              RelayLimits relayLimits)
        : store(recordStore), peers(peerSender), members(knownMembers), clock(relayClock),
          events(eventLog), limits(relayLimits)
    { }

    bool isRelay() const override { return this->members.isKnown() && this->isSelf(this->relay()); }

    void readNewest(const Partition &partition, Handler<Snapshot> handler) override
    {
        this->store.readNewest(partition, std::move(handler));
    }

    void read(const Partition &partition, std::uint64_t from, core::Duration wait,
              Handler<Batch> handler) override
    {
        const core::TimePoint now = this->clock.now();
        const membership::Member relay = this->relay();
        if (this->isSelf(relay) || now < this->directUntil.load())
            return this->readInTurn(partition, from, wait, std::move(handler));
        ReadRequest wanted{partition, from, std::min(wait, this->limits.wait)};
        this->askRelay(relay, wanted,
                       [self = this->shared_from_this(), partition, from, wait,
                        handler = std::move(handler)](std::optional<Batch> batch) mutable {
                           if (batch)
                               return handler(std::move(*batch));
                           self->readInTurn(partition, from, wait, std::move(handler));
                       });
    }

    void readDirect(const Partition &partition, std::uint64_t from, core::Duration wait,
                    Handler<Batch> handler) override
    {
        this->store.read(partition, from, wait,
                         [self = this->shared_from_this(), partition, from,
                          handler = std::move(handler)](core::Outcome<Batch> batch) {
                             self->onStoreRead(partition, from, batch);
                             handler(std::move(batch));
                         });
    }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        const auto wanted = parseTarget(request.target);
        if (!wanted) {
            respond(core::makeResponse(400, "{}"));
            return nullptr;
        }
        if (!this->isRelay()) {
            respond(core::makeResponse(statusNotFound, "{}"));
            return nullptr;
        }
        this->serve(*wanted, respond);
        return nullptr;
    }

private:
    struct Waiter
    {
        std::uint64_t from = 0;
        core::ResponseHandler respond;
    };

    struct PartitionState
    {
        explicit PartitionState(std::size_t keptRecords) : tail(keptRecords) { }

        RecordTail tail;
        core::TimePoint readAt{};     ///< Start of the last read that waits its turn.
        core::TimePoint answeredAt{}; ///< When the store last answered a read.
        std::map<std::uint64_t, Waiter> waiters;
    };

    membership::Member relay() const { return this->members.strongestNearby(this->clock.now()); }

    bool isSelf(const membership::Member &member) const
    {
        return member.name == this->members.self().name;
    }

    // Reads the store, not too soon after the last read of the partition.
    void readInTurn(const Partition &partition, std::uint64_t from, core::Duration wait,
                    Handler<Batch> handler)
    {
        const core::Duration interval =
                this->isRelay() ? this->limits.relayInterval : this->limits.directInterval;
        const core::TimePoint now = this->clock.now();
        core::TimePoint due = now;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->stateOf(partition);
            due = std::max(now, state.readAt + interval);
            state.readAt = due;
        }
        if (due == now)
            return this->readDirect(partition, from, wait, std::move(handler));
        this->clock.schedule(due,
                             [weak = this->weak_from_this(), partition, from, wait,
                              handler = std::move(handler)]() mutable {
                                 if (const auto self = weak.lock())
                                     self->readDirect(partition, from, wait, std::move(handler));
                             });
    }

    // Asks the relay; calls `done` with nothing where the store has to be read instead.
    void askRelay(const membership::Member &relay, const ReadRequest &wanted,
                  std::function<void(std::optional<Batch>)> done)
    {
        core::HttpRequest request;
        request.method = "GET";
        request.target = formatTarget(wanted);
        this->peers.send(relay.peer, std::move(request), wanted.wait + this->limits.answerMargin,
                         [self = this->shared_from_this(), relay,
                          done = std::move(done)](core::Outcome<core::HttpResponse> outcome) {
                             self->onRelayAnswer(relay, std::move(outcome), done);
                         });
    }

    void onRelayAnswer(const membership::Member &relay, core::Outcome<core::HttpResponse> outcome,
                       const std::function<void(std::optional<Batch>)> &done)
    {
        if (!outcome) {
            this->loseRelay(relay, outcome.error().message);
            return done(std::nullopt);
        }
        if (outcome->status == statusUnavailable) {
            this->loseRelay(relay, "it has lost the store");
            return done(std::nullopt);
        }
        const auto endText = core::findHeader(outcome->headers, endField);
        const auto end = endText ? core::parseWhole(*endText) : std::nullopt;
        if (outcome->status != statusOk || !end) {
            this->directUntil = this->clock.now() + this->limits.directTime;
            return done(std::nullopt);
        }
        core::readWholeBody(outcome->body, mostBodyBytes,
                            [self = this->shared_from_this(), relay, done,
                             end = *end](core::Outcome<std::string> body) {
                                auto records = body
                                        ? decodeRecords(*body)
                                        : core::Outcome<std::vector<Record>>(body.error());
                                if (!records) {
                                    self->loseRelay(relay, records.error().message);
                                    return done(std::nullopt);
                                }
                                Batch batch;
                                batch.records = std::move(*records);
                                batch.end = end;
                                batch.age = self->limits.freshness;
                                done(std::move(batch));
                            });
    }

    void loseRelay(const membership::Member &relay, const std::string &reason)
    {
        this->members.suspect(membership::Duty::Relay, relay.name, this->clock.now());
        this->events.write(log::Severity::Warning, "relay-lost",
                           {{"relay", relay.name.value}, {"reason", reason}});
    }

    void onStoreRead(const Partition &partition, std::uint64_t from,
                     const core::Outcome<Batch> &outcome)
    {
        std::vector<std::pair<core::ResponseHandler, core::HttpResponse>> answers;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->stateOf(partition);
            const bool useful = outcome && !outcome->expired;
            if (useful) {
                state.tail.add(from, *outcome);
                state.answeredAt = this->clock.uptime();
            }
            for (auto entry = state.waiters.begin(); entry != state.waiters.end();) {
                const auto batch = state.tail.since(entry->second.from);
                const bool news = batch && batch->end > entry->second.from;
                if (useful && !news) {
                    ++entry;
                    continue;
                }
                answers.emplace_back(std::move(entry->second.respond),
                                     news ? makeBatchResponse(*batch)
                                          : core::makeResponse(statusUnavailable, "{}"));
                entry = state.waiters.erase(entry);
            }
        }
        for (auto &[respond, response] : answers)
            respond(std::move(response));
    }

    void serve(const ReadRequest &wanted, const core::ResponseHandler &respond)
    {
        const core::TimePoint now = this->clock.now();
        core::HttpResponse response = core::makeResponse(statusNotFound, "{}");
        core::Duration wait = std::min(wanted.wait, this->limits.wait);
        std::uint64_t number = 0;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->stateOf(wanted.partition);
            const auto batch = state.tail.since(wanted.from);
            if (batch && this->isStale(state)) {
                response = core::makeResponse(statusUnavailable, "{}");
            } else if (batch && batch->end > wanted.from) {
                response = makeBatchResponse(*batch);
            } else if (batch) {
                number = ++this->lastWaiter;
                // A relay that loses the store meanwhile says so as soon as it counts as cut off.
                wait = std::min(wait,
                                state.answeredAt + this->limits.freshness + staleMargin
                                        - this->clock.uptime());
                state.waiters.emplace(number, Waiter{wanted.from, respond});
            }
        }
        if (number == 0)
            return respond(std::move(response));
        this->clock.schedule(now + wait,
                             [weak = this->weak_from_this(), partition = wanted.partition, number] {
                                 if (const auto self = weak.lock())
                                     self->endWait(partition, number);
                             });
    }

    // Answers that nothing was added, provided that the store said so recently.
    void endWait(const Partition &partition, std::uint64_t number)
    {
        std::optional<Waiter> waiter;
        core::HttpResponse response = core::makeResponse(statusUnavailable, "{}");
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->stateOf(partition);
            const auto found = state.waiters.find(number);
            if (found == state.waiters.end())
                return;
            waiter = std::move(found->second);
            state.waiters.erase(found);
            const auto batch = state.tail.since(waiter->from);
            if (batch && !this->isStale(state))
                response = makeBatchResponse(*batch);
        }
        waiter->respond(std::move(response));
    }

    // Time during which this machine was suspended counts too.
    bool isStale(const PartitionState &state) const
    {
        return this->clock.uptime() - state.answeredAt > this->limits.freshness;
    }

    PartitionState &stateOf(const Partition &partition)
    {
        return this->partitions.try_emplace(partition, this->limits.keptRecords).first->second;
    }

    RecordSource &store;
    core::HttpSender &peers;
    membership::Members &members;
    clock::Clock &clock;
    log::EventLog &events;
    const RelayLimits limits;
    std::atomic<core::TimePoint> directUntil{core::TimePoint{}};

    std::mutex mutex; // A leaf lock; guards what follows.
    std::uint64_t lastWaiter = 0;
    std::map<Partition, PartitionState> partitions;
};

} // namespace

std::shared_ptr<Relay> makeRelay(RecordSource &store, core::HttpSender &peers,
                                 membership::Members &members, clock::Clock &clock,
                                 log::EventLog &events, RelayLimits limits)
{
    return std::make_shared<PeerRelay>(store, peers, members, clock, events, limits);
}

} // namespace amaranthdale::relay
