// The read loop, and recovery from a snapshot when the log no longer holds the first records.
#include "log_follower.h"

#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/state_codec.h"

#include <algorithm>

namespace amaranthdale::daemon {

namespace {

using log::Severity;

// Duration of a long poll, so a new read begins at most this long after the previous one. Half of
// the default authority timeout of 200 ms, for which a read proves that no newer controller exists.
constexpr core::Duration longPollWait = std::chrono::milliseconds(100);
constexpr core::Duration readTimeout = std::chrono::milliseconds(1000);
constexpr core::Duration retryDelay = std::chrono::milliseconds(50);
constexpr std::size_t recordsPerRead = 500;

} // namespace

LogFollower::LogFollower(logclient::LogService &logService, clock::Clock &processClock,
                         Tables &sharedTables, log::EventLog &eventLog,
                         ReplayListener &replayListener, StateSource &stateSource)
    : service(logService), clock(processClock), tables(sharedTables), log(eventLog),
      listener(replayListener), peers(stateSource)
{ }

void LogFollower::start()
{
    this->readNext();
}

core::Duration LogFollower::readAge() const
{
    return this->clock.now() - this->lastTailRead.load();
}

void LogFollower::readNext()
{
    if (this->stopped)
        return;
    const core::TimePoint began = this->clock.now();
    this->service.read(this->nextOffset, recordsPerRead, longPollWait, readTimeout,
                       [this, began](core::Outcome<logclient::LogPage> page) {
                           if (!page)
                               return this->readFailed(page.error());
                           this->pageReceived(began, *page);
                           this->readNext();
                       });
}

void LogFollower::readFailed(const core::Error &error)
{
    if (this->stopped)
        return;
    this->log.write(
            Severity::Warning, "log-read-failed",
            {{"kind", std::string(core::errorKindName(error.kind))}, {"message", error.message}});
    this->clock.schedule(this->clock.now() + retryDelay, [this] {
        if (this->isReady)
            this->readNext();
        else
            this->startFromPeers();
    });
}

void LogFollower::startFromPeers()
{
    this->peers.fetchState([this](core::Outcome<decisions::ClusterState> fetched) {
        if (fetched && fetched->offset() > this->state.offset()) {
            this->log.write(Severity::Info, "state-from-peer",
                            {{"offset", std::to_string(fetched->offset().value)}});
            this->installState(std::move(*fetched));
            this->publish();
        }
        this->readNext();
    });
}

void LogFollower::pageReceived(core::TimePoint began, const logclient::LogPage &page)
{
    if (this->nextOffset < page.first) {
        this->log.write(Severity::Info, "log-truncated",
                        {{"wanted", std::to_string(this->nextOffset.value)},
                         {"first", std::to_string(page.first.value)}});
        this->awaitingSnapshot = true;
        this->bufferedRecords.clear();
        this->pieces.clear();
        this->nextOffset = page.first;
        this->bufferedFrom = page.first;
    }
    if (!page.entries.empty())
        this->replay(page);
    const bool atTail = this->nextOffset >= page.next;
    if (this->awaitingSnapshot || !atTail)
        return;
    this->isReady = true;
    this->lastTailRead = began;
    this->listener.tailReached(began);
}

void LogFollower::replay(const logclient::LogPage &page)
{
    for (const logclient::LogEntry &entry : page.entries) {
        if (entry.offset < this->nextOffset)
            continue;
        this->replayEntry(entry);
        this->nextOffset = core::LogOffset(entry.offset.value + 1);
    }
    if (!this->awaitingSnapshot)
        this->publish();
}

void LogFollower::replayEntry(const logclient::LogEntry &entry)
{
    const auto decoded = records::decodeRecord(entry.body);
    if (!decoded) {
        this->log.write(Severity::Error, "record-undecodable",
                        {{"offset", std::to_string(entry.offset.value)},
                         {"message", records::toError(decoded.faults()).message}});
        if (!this->awaitingSnapshot)
            this->state.skip(entry.offset);
        return;
    }
    if (this->awaitingSnapshot)
        return this->collectSnapshot(entry.offset, *decoded);
    const decisions::ApplyResult applied = this->state.apply(entry.offset, *decoded);
    this->listener.recordApplied(entry.offset, *decoded, applied);
}

void LogFollower::collectSnapshot(core::LogOffset offset, const decisions::LogRecord &record)
{
    this->bufferedRecords.emplace(offset, record);
    const auto *piece = std::get_if<decisions::SnapshotRecord>(&record.body);
    // A snapshot that covers less than the missing records would leave a gap before the buffered
    // ones.
    if (!piece || piece->covers.value + 1 < this->bufferedFrom.value)
        return;
    auto &collected = this->pieces[piece->covers];
    // A piece may appear twice on the log, after a retried append or from two writers.
    const bool known = std::any_of(collected.begin(), collected.end(),
                                   [&](const auto &each) { return each.index == piece->index; });
    if (known)
        return;
    collected.push_back(*piece);
    if (collected.size() < piece->count)
        return;
    const auto joined = records::joinState(collected);
    if (!joined)
        return;
    auto decoded = records::decodeState(*joined);
    if (!decoded)
        return;
    this->awaitingSnapshot = false;
    auto buffered = std::move(this->bufferedRecords);
    this->installState(std::move(decoded.value()));
    for (const auto &[bufferedOffset, bufferedRecord] : buffered) {
        if (bufferedOffset <= this->state.offset())
            continue;
        const decisions::ApplyResult applied = this->state.apply(bufferedOffset, bufferedRecord);
        this->listener.recordApplied(bufferedOffset, bufferedRecord, applied);
    }
}

void LogFollower::installState(decisions::ClusterState newState)
{
    this->state = std::move(newState);
    this->nextOffset = core::LogOffset(this->state.offset().value + 1);
    this->awaitingSnapshot = false;
    this->bufferedRecords.clear();
    this->pieces.clear();
}

void LogFollower::publish()
{
    auto pointer = std::make_shared<const decisions::ClusterState>(this->state);
    this->tables.configuration.with([&](StatePointer &current) { current = pointer; });
    this->listener.replayed(pointer);
}

} // namespace amaranthdale::daemon
