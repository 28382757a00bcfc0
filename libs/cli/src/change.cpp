// Appends a record to the log and waits until it is in force on every live instance.
#include "change.h"

#include "amaranthdale/records/record_codec.h"
#include "output.h"
#include "wait_for.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <ostream>

namespace amaranthdale::cli {

namespace json = boost::json;
using core::Error;
using core::ErrorKind;
using core::LogOffset;
using core::Outcome;

namespace {

constexpr core::Duration logTimeout = std::chrono::seconds(5);
constexpr core::Duration longPollTimeout = std::chrono::seconds(1);
constexpr core::Duration pollInterval = std::chrono::milliseconds(50);
constexpr std::size_t maxRecordsPerRead = 200;

// Offset of the record on the log and the result of replaying it.
struct ReplayedRecord
{
    LogOffset offset;
    decisions::ApplyResult applied;
};

Outcome<logclient::LogPage> readLog(logclient::LogService &log, LogOffset from,
                                    std::size_t maxRecords)
{
    return waitFor<logclient::LogPage>([&](auto handler) {
        log.read(from, maxRecords, longPollTimeout, logTimeout, handler);
    });
}

// Replays `page` up to the record `id`. Returns nothing if the page doesn't contain it.
std::optional<ReplayedRecord> replayPage(decisions::ClusterState &state,
                                         const logclient::LogPage &page,
                                         const decisions::RecordId &id)
{
    for (const logclient::LogEntry &entry : page.entries) {
        const auto record = records::decodeRecord(entry.body);
        if (!record) {
            state.skip(entry.offset);
            continue;
        }
        const decisions::ApplyResult applied = state.apply(entry.offset, *record);
        if (record->id == id)
            return ReplayedRecord{entry.offset, applied};
    }
    return std::nullopt;
}

// Only the log shows whether the record took effect: the response to the append can be lost after
// the append succeeded, and another record can precede it.
Outcome<ReplayedRecord> replayUntilRecord(Change &change, const ChangeContext &context)
{
    const core::TimePoint deadline = context.pacer.now() + context.waitLimit;
    while (context.pacer.now() < deadline) {
        const LogOffset from(change.state.offset().value + 1);
        const Outcome<logclient::LogPage> page = readLog(context.log, from, maxRecordsPerRead);
        if (page && page->first > from)
            return Error{ErrorKind::Unavailable,
                         "the log was truncated beyond the state that was read; run the "
                         "command again"};
        if (page) {
            if (const auto replayed = replayPage(change.state, *page, change.record.id))
                return *replayed;
        }
        if (!page || page->entries.empty())
            context.pacer.sleepFor(pollInterval);
    }
    return Error{ErrorKind::Timeout,
                 "it is unknown whether the append took effect; check with plan or report "
                 "before a retry"};
}

// Returns the offset of the last change to what `body` changes, or 0 if there is none.
LogOffset lastChangeOffset(const decisions::ClusterState &state, const decisions::RecordBody &body)
{
    if (const auto *document = std::get_if<decisions::DocumentRecord>(&body)) {
        const auto *service = state.findService(document->document.service);
        return service ? service->version : LogOffset();
    }
    if (const auto *dataCentre = std::get_if<decisions::DataCentreRecord>(&body)) {
        const auto found = state.dataCentres().find(dataCentre->dataCentre);
        return found == state.dataCentres().end() ? LogOffset() : found->second.changedAt;
    }
    return LogOffset();
}

// Returns the proposer of the record at `offset`; empty if the log no longer contains the record.
std::string proposerAt(logclient::LogService &log, LogOffset offset)
{
    const Outcome<logclient::LogPage> page = readLog(log, offset, 1);
    if (!page || page->entries.empty() || page->entries.front().offset != offset)
        return {};
    const auto record = records::decodeRecord(page->entries.front().body);
    return record ? record->id.proposer.name.value : std::string();
}

Error describeRefusal(const Change &change, const std::string &reason, const ChangeContext &context)
{
    const LogOffset conflictingOffset = lastChangeOffset(change.state, change.record.body);
    if (conflictingOffset <= change.record.basedOn)
        return Error{ErrorKind::InvalidDocument, "not in force: " + reason};
    const std::string name = proposerAt(context.log, conflictingOffset);
    return Error{ErrorKind::Conflict,
                 "not in force: " + (name.empty() ? "another operator" : name)
                         + " won the race with record " + std::to_string(conflictingOffset.value)
                         + " (" + reason + ")"};
}

// Replays the record on a copy of the state. A record that replay would drop is not appended.
std::optional<Error> checkBeforeAppend(const Change &change, const ChangeContext &context)
{
    decisions::ClusterState stateCopy = change.state;
    const LogOffset next(stateCopy.offset().value + 1);
    const decisions::ApplyResult applied = stateCopy.apply(next, change.record);
    if (applied.accepted)
        return std::nullopt;
    return describeRefusal(change, applied.reason, context);
}

// Skips leaving instances, since they accept no new requests.
std::vector<std::string> laggingInstances(const std::vector<report::InstanceView> &instances,
                                          LogOffset offset)
{
    std::vector<std::string> lagging;
    for (const report::InstanceView &instance : instances) {
        if (instance.leaving
            || (instance.lastHeartbeat && instance.lastHeartbeat->offset >= offset))
            continue;
        lagging.push_back(instance.name.value
                          + (instance.lastHeartbeat
                                     ? " at " + std::to_string(instance.lastHeartbeat->offset.value)
                                     : std::string(" without heartbeat")));
    }
    return lagging;
}

std::size_t countLive(const std::vector<report::InstanceView> &instances)
{
    return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(),
                          [](const report::InstanceView &instance) { return !instance.leaving; }));
}

std::string join(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &text : texts)
        result += (result.empty() ? "" : ", ") + text;
    return result;
}

// Waits until all live instances have replayed `offset`, and returns their number.
Outcome<std::size_t> waitForInstances(LogOffset offset, const ChangeContext &context)
{
    const core::TimePoint deadline = context.pacer.now() + context.waitLimit;
    std::string pending = "no instance listed";
    do {
        const auto instances = context.cluster.fetchInstances();
        if (instances) {
            const std::vector<std::string> lagging = laggingInstances(*instances, offset);
            // An empty list doesn't show which instances are live.
            if (lagging.empty() && countLive(*instances) > 0)
                return countLive(*instances);
            pending = lagging.empty() ? "no instance listed" : join(lagging);
        } else {
            pending = instances.error().message;
        }
        context.pacer.sleepFor(pollInterval);
    } while (context.pacer.now() < deadline);
    return Error{ErrorKind::Timeout,
                 "accepted as record " + std::to_string(offset.value)
                         + ", but not yet in force everywhere (" + pending
                         + "); it stays accepted"};
}

void writeSuccess(const Output &output, LogOffset offset, std::size_t instances,
                  core::Duration elapsed)
{
    const auto elapsedMs = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    if (output.json)
        writeJson(output,
                  {{"offset", offset.value}, {"instances", instances}, {"elapsedMs", elapsedMs}});
    else
        output.results << "in force on " << instances << " instances as record " << offset.value
                       << " after " << elapsedMs << " ms\n";
}

} // namespace

ExitCode appendAndWait(Change change, const ChangeContext &context, const Output &output)
{
    if (const std::optional<Error> refused = checkBeforeAppend(change, context))
        return fail(output, *refused);

    const core::TimePoint begin = context.pacer.now();
    const Outcome<LogOffset> appended = waitFor<LogOffset>([&](auto handler) {
        context.log.append(records::encodeRecord(change.record), logTimeout, handler);
    });
    if (!appended && appended.error().kind == ErrorKind::Unavailable)
        return fail(
                output,
                Error{ErrorKind::Unavailable,
                      "nothing was appended: " + appended.error().message + "; try again later"});
    const Outcome<ReplayedRecord> replayed = replayUntilRecord(change, context);
    if (!replayed)
        return fail(output, replayed.error());
    if (!replayed->applied.accepted)
        return fail(output, describeRefusal(change, replayed->applied.reason, context));

    const Outcome<std::size_t> instances = waitForInstances(replayed->offset, context);
    if (!instances)
        return fail(output, instances.error());
    writeSuccess(output, replayed->offset, *instances, context.pacer.now() - begin);
    return ExitCode::Success;
}

} // namespace amaranthdale::cli
