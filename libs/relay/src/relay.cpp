// Reads through the relay of the data centre, and as a relay through the one that reads the store,
// with direct reads of the store as the fallback.
#include "amaranthdale/relay/relay.h"

#include "partition_state.h"
#include "read_request.h"
#include "record_codec.h"
#include "response_age.h"

#include "amaranthdale/core/numbers.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

namespace amaranthdale::relay {

namespace {

constexpr std::string_view endHeader = "End";
constexpr std::size_t maxBodyBytes = 16 * 1024 * 1024;
constexpr auto completionTimeout = std::chrono::seconds(10); // For a body that arrives slowly.
constexpr auto staleMargin = std::chrono::milliseconds(1);
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusGone = 410;
constexpr unsigned statusUnavailable = 503;

core::HttpResponse makeRecordsResponse(const std::vector<Record> &records, std::uint64_t end)
{
    core::HttpResponse response =
            core::makeResponse(statusOk, encodeRecords(records), "application/octet-stream");
    core::setHeader(response.headers, endHeader, std::to_string(end));
    return response;
}

class PeerRelay : public Relay, public std::enable_shared_from_this<PeerRelay>
{
public:
    PeerRelay(RecordSource &recordStore, core::HttpSender &peerSender,
              membership::Members &knownMembers, clock::Clock &relayClock, log::EventLog &eventLog,
              RelayOptions relayOptions)
        : store(recordStore), peers(peerSender), members(knownMembers), clock(relayClock),
          events(eventLog), options(relayOptions)
    { }

    bool isRelay() const override { return this->members.hasList() && this->isSelf(this->relay()); }

    void readNewest(const Partition &partition, Handler<Snapshot> handler) override
    {
        const membership::Member relay = this->relay();
        if (this->isSelf(relay))
            return this->readNewestAsRelay(partition, std::move(handler));
        if (this->clock.now() < this->directUntil.load())
            return this->readNewestDirect(partition, std::move(handler));
        this->readFromRelay(relay, {partition, std::nullopt, this->options.maxNewestWait},
                            [self = this->shared_from_this(), partition,
                             handler = std::move(handler)](std::optional<Batch> batch) mutable {
                                if (!batch)
                                    return self->readNewestDirect(partition, std::move(handler));
                                handler(makeSnapshot(std::move(*batch)));
                            });
    }

    void read(const Partition &partition, std::uint64_t from, core::Duration wait,
              Handler<Batch> handler) override
    {
        const core::TimePoint now = this->clock.now();
        const membership::Member relay = this->relay();
        if (this->isSelf(relay))
            return this->readAsRelay(partition, from, wait, std::move(handler));
        if (now < this->directUntil.load())
            return this->readThrottled(partition, from, wait, std::move(handler));
        ReadRequest readRequest{partition, from, std::min(wait, this->options.maxWait)};
        this->readFromRelay(relay, readRequest,
                            [self = this->shared_from_this(), partition, from, wait,
                             handler = std::move(handler)](std::optional<Batch> batch) mutable {
                                if (batch)
                                    return handler(std::move(*batch));
                                self->readThrottled(partition, from, wait, std::move(handler));
                            });
    }

    void readDirect(const Partition &partition, std::uint64_t from, core::Duration wait,
                    Handler<Batch> handler) override
    {
        this->store.read(partition, from, wait,
                         [self = this->shared_from_this(), partition, from,
                          startedAt = this->clock.uptime(),
                          handler = std::move(handler)](core::Outcome<Batch> batch) {
                             // The store may have executed the read as soon as it was sent.
                             if (batch && !batch->expired && batch->reachedEnd)
                                 batch->asOf = startedAt;
                             self->onStoreCall(static_cast<bool>(batch));
                             self->onStoreRead(partition, from, batch);
                             handler(std::move(batch));
                         });
    }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        const auto readRequest = parseTarget(request.target);
        if (!readRequest) {
            respond(core::makeResponse(400, "{}"));
            return nullptr;
        }
        const bool serves = readRequest->fromStoreReader ? this->isStoreReader() : this->isRelay();
        if (!serves) {
            respond(core::makeResponse(statusNotFound, "{}"));
            return nullptr;
        }
        if (readRequest->from)
            this->serve(*readRequest, *readRequest->from, respond);
        else
            this->serveNewest(readRequest->partition, respond);
        return nullptr;
    }

private:
    membership::Member relay() const { return this->members.selectRelay(this->clock.now()); }

    bool isSelf(const membership::Member &member) const
    {
        return member.name == this->members.self().name;
    }

    static Snapshot makeSnapshot(Batch batch)
    {
        Snapshot snapshot;
        snapshot.records = std::move(batch.records);
        snapshot.nextOffset = batch.nextOffset;
        snapshot.maxAge = batch.maxAge;
        snapshot.asOf = batch.asOf;
        return snapshot;
    }

    // The relay to read from if this relay doesn't read the store itself. A relay that has lost the
    // store reads from another one that hasn't.
    std::optional<membership::Member> otherStoreReader() const
    {
        const core::TimePoint now = this->clock.now();
        if (!this->options.singleStoreReader || now < this->ownReadsUntil.load())
            return std::nullopt;
        const bool storeLost = now < this->storeLostUntil.load();
        const auto reader = this->members.selectStoreReader(
                now, storeLost ? this->members.self().name : core::InstanceName());
        return !reader || this->isSelf(*reader) ? std::nullopt : reader;
    }

    // A relay and the relay from which it reads may each be out of date.
    int relayLevels() const { return this->options.singleStoreReader ? 2 : 1; }

    bool isStoreReader() const
    {
        const core::TimePoint now = this->clock.now();
        if (!this->isRelay() || now < this->storeLostUntil.load())
            return false;
        const auto reader = this->members.selectStoreReader(now);
        return reader && this->isSelf(*reader);
    }

    void onStoreCall(bool responded)
    {
        const core::TimePoint now = this->clock.now();
        this->storeLostUntil = responded ? now : now + this->options.storeLostTime;
    }

    void readAsRelay(const Partition &partition, std::uint64_t from, core::Duration wait,
                     Handler<Batch> handler)
    {
        const auto reader = this->otherStoreReader();
        if (!reader)
            return this->readThrottled(partition, from, wait, std::move(handler));
        const ReadRequest readRequest{partition, from,
                                      std::min(wait, this->options.maxStoreReaderWait), true};
        this->readFromRelay(*reader, readRequest,
                            [self = this->shared_from_this(), partition, from,
                             handler = std::move(handler)](std::optional<Batch> batch) mutable {
                                // Without a wait, as readers of this relay need a sign of the store
                                // before what it holds counts as stale.
                                if (!batch)
                                    return self->readThrottled(partition, from, {},
                                                               std::move(handler));
                                const core::Outcome<Batch> outcome(std::move(*batch));
                                self->onStoreRead(partition, from, outcome);
                                handler(outcome);
                            });
    }

    void readNewestAsRelay(const Partition &partition, Handler<Snapshot> handler)
    {
        const auto reader = this->otherStoreReader();
        if (!reader)
            return this->readNewestDirect(partition, std::move(handler));
        this->readFromRelay(*reader, {partition, std::nullopt, this->options.maxNewestWait, true},
                            [self = this->shared_from_this(), partition,
                             handler = std::move(handler)](std::optional<Batch> batch) mutable {
                                if (!batch)
                                    return self->readNewestDirect(partition, std::move(handler));
                                const core::Outcome<Snapshot> snapshot(
                                        makeSnapshot(std::move(*batch)));
                                self->onNewestRead(partition, snapshot);
                                handler(snapshot);
                            });
    }

    // Reads the store, but starts at least the configured interval after the partition's last read.
    void readThrottled(const Partition &partition, std::uint64_t from, core::Duration wait,
                       Handler<Batch> handler)
    {
        const core::Duration interval = this->isRelay() ? this->options.relayReadInterval
                                                        : this->options.directReadInterval;
        const core::TimePoint now = this->clock.now();
        core::TimePoint due = now;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(partition);
            due = std::max(now, state.lastReadAt + interval);
            state.lastReadAt = due;
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

    void readNewestDirect(const Partition &partition, Handler<Snapshot> handler)
    {
        this->store.readNewest(partition,
                               [self = this->shared_from_this(), partition,
                                startedAt = this->clock.uptime(),
                                handler = std::move(handler)](core::Outcome<Snapshot> snapshot) {
                                   if (snapshot)
                                       snapshot->asOf = startedAt;
                                   self->onStoreCall(static_cast<bool>(snapshot));
                                   self->onNewestRead(partition, snapshot);
                                   handler(std::move(snapshot));
                               });
    }

    void onNewestRead(const Partition &partition, const core::Outcome<Snapshot> &snapshot)
    {
        std::vector<std::pair<core::ResponseHandler, core::HttpResponse>> responses;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(partition);
            state.readingNewest = false;
            if (snapshot) {
                state.newest.reset(*snapshot);
                state.tail.initialise(snapshot->nextOffset);
                state.storeRespondedAt = this->clock.uptime();
                state.confirm(snapshot->asOf, snapshot->nextOffset);
                // A snapshot of a later era discards the tail.
                std::erase_if(state.waitingReads, [&](auto &entry) {
                    if (state.tail.covers(entry.second.from))
                        return false;
                    responses.emplace_back(std::move(entry.second.respond),
                                           core::makeResponse(statusGone, "{}"));
                    return true;
                });
            }
            for (WaitingRead &read : std::exchange(state.waitingForNewest, {}))
                responses.emplace_back(std::move(read.respond),
                                       snapshot ? this->makeNewestResponse(state, read.arrivedAt)
                                                : core::makeResponse(statusUnavailable, "{}"));
        }
        for (auto &[respond, response] : responses)
            respond(std::move(response));
    }

    core::HttpResponse makeNewestResponse(const PartitionState &state,
                                          core::TimePoint arrivedAt) const
    {
        core::HttpResponse response =
                makeRecordsResponse(state.newest.records(), state.newest.end());
        this->stateAge(response, state, state.newest.end(), arrivedAt);
        return response;
    }

    core::HttpResponse makeBatchResponse(const PartitionState &state, const Batch &batch,
                                         core::TimePoint arrivedAt) const
    {
        core::HttpResponse response = makeRecordsResponse(batch.records, batch.nextOffset);
        this->stateAge(response, state, batch.nextOffset, arrivedAt);
        return response;
    }

    // Says how old the records before `end` are. An end before the confirmed one has no known age.
    void stateAge(core::HttpResponse &response, const PartitionState &state, std::uint64_t end,
                  core::TimePoint arrivedAt) const
    {
        if (!state.confirmedAt || end < state.confirmedEnd)
            return;
        const core::TimePoint now = this->clock.uptime();
        setResponseAge(response, {now - *state.confirmedAt, now - arrivedAt});
    }

    // Answers another instance's read of the newest records; reads the store first if what is held
    // may be outdated.
    void serveNewest(const Partition &partition, const core::ResponseHandler &respond)
    {
        std::optional<core::HttpResponse> response;
        const core::TimePoint arrivedAt = this->clock.uptime();
        bool read = false;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(partition);
            if (state.newest.isValid() && !this->isStale(state)) {
                response = this->makeNewestResponse(state, arrivedAt);
            } else {
                state.waitingForNewest.push_back({0, respond, arrivedAt});
                read = !std::exchange(state.readingNewest, true);
            }
        }
        if (response)
            return respond(std::move(*response));
        if (read)
            this->readNewestAsRelay(partition, [](const core::Outcome<Snapshot> &) {});
    }

    // Reads from the relay; calls `done` with nullopt if the store has to be read instead.
    void readFromRelay(const membership::Member &relay, const ReadRequest &readRequest,
                       std::function<void(std::optional<Batch>)> done)
    {
        core::HttpRequest request;
        request.method = "GET";
        request.target = formatTarget(readRequest);
        request.completionTimeout = readRequest.wait + completionTimeout;
        this->peers.send(
                relay.peer, std::move(request), readRequest.wait + this->options.responseMargin,
                [self = this->shared_from_this(), relay, readRequest, sentAt = this->clock.uptime(),
                 done = std::move(done)](core::Outcome<core::HttpResponse> outcome) {
                    self->onRelayResponse(relay, readRequest, sentAt, std::move(outcome), done);
                });
    }

    // The instance that is selected here doesn't relay. Asks the selected one again for a short
    // time, in which the lists of members usually agree, then reads the store directly.
    void onDisagreement(const ReadRequest &readRequest,
                        const std::function<void(std::optional<Batch>)> &done)
    {
        const core::TimePoint now = this->clock.now();
        bool retry = false;
        core::Duration delay{};
        {
            std::lock_guard lock(this->mutex);
            if (now >= this->disagreementStart + this->options.disagreementPeriod)
                this->disagreementStart = now;
            retry = now < this->disagreementStart + this->options.disagreementTime;
            // Each delay is as long as all earlier ones together.
            delay = std::clamp(now - this->disagreementStart, this->options.minDisagreementRetry,
                               this->options.maxDisagreementRetry);
        }
        if (!retry) {
            this->directUntil = now + this->options.directReadTime;
            return done(std::nullopt);
        }
        this->clock.schedule(now + delay, [weak = this->weak_from_this(), readRequest, done] {
            const auto self = weak.lock();
            if (!self)
                return;
            const membership::Member relay = self->relay();
            if (self->isSelf(relay))
                return done(std::nullopt);
            self->readFromRelay(relay, readRequest, done);
        });
    }

    void onRelayResponse(const membership::Member &relay, const ReadRequest &readRequest,
                         core::TimePoint sentAt, core::Outcome<core::HttpResponse> outcome,
                         const std::function<void(std::optional<Batch>)> &done)
    {
        if (!outcome) {
            this->handleRelayLoss(relay, readRequest, outcome.error().message);
            return done(std::nullopt);
        }
        if (outcome->status == statusUnavailable) {
            this->handleRelayLoss(relay, readRequest, "the relay has lost contact with the store");
            return done(std::nullopt);
        }
        const auto endText = core::findHeader(outcome->headers, endHeader);
        const auto end = endText ? core::parseUnsigned(*endText) : std::nullopt;
        if (outcome->status == statusNotFound && !readRequest.fromStoreReader)
            return this->onDisagreement(readRequest, done);
        if (outcome->status == statusGone && readRequest.from) {
            Batch expired;
            expired.expired = true;
            return done(std::move(expired));
        }
        if (outcome->status != statusOk || !end) {
            const core::TimePoint now = this->clock.now();
            if (readRequest.fromStoreReader)
                this->ownReadsUntil = now + this->options.ownReadTime;
            else
                this->directUntil = now + this->options.directReadTime;
            return done(std::nullopt);
        }
        core::readWholeBody(
                outcome->body, maxBodyBytes,
                [self = this->shared_from_this(), relay, readRequest, done, end = *end,
                 asOf = confirmationTime(*outcome, sentAt)](core::Outcome<std::string> body) {
                    auto records = body ? decodeRecords(*body)
                                        : core::Outcome<std::vector<Record>>(body.error());
                    if (!records) {
                        self->handleRelayLoss(relay, readRequest, records.error().message);
                        return done(std::nullopt);
                    }
                    Batch batch;
                    batch.records = std::move(*records);
                    batch.nextOffset = end;
                    batch.maxAge = self->relayLevels() * self->options.maxStaleness;
                    batch.asOf = asOf;
                    if (!readRequest.fromStoreReader)
                        self->keepTail(readRequest, batch);
                    done(std::move(batch));
                });
    }

    // Keeps what was relayed: the instance that takes over as relay can then serve the others from
    // the offsets that they have reached.
    void keepTail(const ReadRequest &readRequest, const Batch &batch)
    {
        std::lock_guard lock(this->mutex);
        PartitionState &state = this->findOrAddPartition(readRequest.partition);
        if (readRequest.from)
            state.tail.add(*readRequest.from, batch);
        else
            state.tail.initialise(batch.nextOffset);
    }

    void handleRelayLoss(const membership::Member &relay, const ReadRequest &readRequest,
                         const std::string &reason)
    {
        const core::TimePoint now = this->clock.now();
        if (readRequest.fromStoreReader)
            this->ownReadsUntil = now + this->options.ownReadTime;
        this->members.suspect(readRequest.fromStoreReader ? membership::InstanceRole::StoreReader
                                                          : membership::InstanceRole::Relay,
                              relay.name, now);
        this->events.write(log::Severity::Warning,
                           readRequest.fromStoreReader ? "store-reader-lost" : "relay-lost",
                           {{"relay", relay.name.value}, {"reason", reason}});
    }

    void onStoreRead(const Partition &partition, std::uint64_t from,
                     const core::Outcome<Batch> &outcome)
    {
        std::vector<std::pair<core::ResponseHandler, core::HttpResponse>> responses;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(partition);
            const bool usable = outcome && !outcome->expired;
            const bool expired = outcome && outcome->expired;
            if (usable) {
                state.tail.add(from, *outcome);
                state.newest.apply(from, *outcome);
                state.storeRespondedAt = this->clock.uptime();
                state.confirm(outcome->asOf, outcome->nextOffset);
            }
            for (auto entry = state.waitingReads.begin(); entry != state.waitingReads.end();) {
                const auto batch = state.tail.readFrom(entry->second.from);
                const bool hasNewRecords = batch && batch->nextOffset > entry->second.from;
                const bool isGone = expired || !state.tail.covers(entry->second.from);
                if (usable && !isGone && !hasNewRecords) {
                    ++entry;
                    continue;
                }
                responses.emplace_back(
                        std::move(entry->second.respond),
                        hasNewRecords
                                ? this->makeBatchResponse(state, *batch, entry->second.arrivedAt)
                                : core::makeResponse(isGone ? statusGone : statusUnavailable,
                                                     "{}"));
                entry = state.waitingReads.erase(entry);
            }
        }
        for (auto &[respond, response] : responses)
            respond(std::move(response));
    }

    void serve(const ReadRequest &readRequest, std::uint64_t from,
               const core::ResponseHandler &respond)
    {
        const core::TimePoint now = this->clock.now();
        const core::TimePoint arrivedAt = this->clock.uptime();
        core::HttpResponse response = core::makeResponse(statusGone, "{}");
        core::Duration wait = std::min(readRequest.wait, this->options.maxWait);
        std::uint64_t id = 0;
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(readRequest.partition);
            const auto batch = state.tail.readFrom(from);
            const bool ahead = state.tail.isBehind(from); // Of this instance's own reads.
            if ((batch || ahead) && this->isStale(state)) {
                response = core::makeResponse(statusUnavailable, "{}");
            } else if (batch && batch->nextOffset > from) {
                response = this->makeBatchResponse(state, *batch, arrivedAt);
            } else if (batch || ahead) {
                id = ++this->lastWaitingId;
                // If the store is lost meanwhile, the read fails as soon as the tail becomes stale.
                wait = std::min(wait,
                                state.storeRespondedAt + this->options.maxStaleness + staleMargin
                                        - this->clock.uptime());
                state.waitingReads.emplace(id, WaitingRead{from, respond, arrivedAt});
            }
        }
        if (id == 0)
            return respond(std::move(response));
        this->clock.schedule(
                now + wait, [weak = this->weak_from_this(), partition = readRequest.partition, id] {
                    if (const auto self = weak.lock())
                        self->finishWait(partition, id);
                });
    }

    // Responds that there are no new records, if the store's last response is recent enough.
    void finishWait(const Partition &partition, std::uint64_t id)
    {
        std::optional<WaitingRead> waitingRead;
        core::HttpResponse response = core::makeResponse(statusUnavailable, "{}");
        {
            std::lock_guard lock(this->mutex);
            PartitionState &state = this->findOrAddPartition(partition);
            const auto found = state.waitingReads.find(id);
            if (found == state.waitingReads.end())
                return;
            waitingRead = std::move(found->second);
            state.waitingReads.erase(found);
            const auto batch = state.tail.readFrom(waitingRead->from);
            if (batch && !this->isStale(state))
                response = this->makeBatchResponse(state, *batch, waitingRead->arrivedAt);
        }
        waitingRead->respond(std::move(response));
    }

    // Uses `uptime`, so that time during which the system was suspended counts too.
    bool isStale(const PartitionState &state) const
    {
        return this->clock.uptime() - state.storeRespondedAt > this->options.maxStaleness;
    }

    PartitionState &findOrAddPartition(const Partition &partition)
    {
        return this->partitions.try_emplace(partition, this->options.retainedRecords).first->second;
    }

    RecordSource &store;
    core::HttpSender &peers;
    membership::Members &members;
    clock::Clock &clock;
    log::EventLog &events;
    const RelayOptions options;
    std::atomic<core::TimePoint> directUntil{core::TimePoint{}};   // While no relay serves reads.
    std::atomic<core::TimePoint> ownReadsUntil{core::TimePoint{}}; // As a relay.
    std::atomic<core::TimePoint> storeLostUntil{core::TimePoint{}};

    std::mutex mutex; // Leaf lock; guards the members below.
    std::uint64_t lastWaitingId = 0;
    core::TimePoint disagreementStart{}; ///< Begin of the time in which the relay is asked again.
    std::map<Partition, PartitionState> partitions;
};

} // namespace

std::shared_ptr<Relay> makeRelay(RecordSource &store, core::HttpSender &peers,
                                 membership::Members &members, clock::Clock &clock,
                                 log::EventLog &events, RelayOptions options)
{
    return std::make_shared<PeerRelay>(store, peers, members, clock, events, options);
}

} // namespace amaranthdale::relay
