// Appends a record and follows it until it is in force everywhere.
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
constexpr core::Duration longPoll = std::chrono::seconds(1);
constexpr core::Duration pauseBetweenQuestions = std::chrono::milliseconds(50);
constexpr std::size_t recordsPerRead = 200;

// Where the record stands on the log, and what replay made of it.
struct Placed
{
    LogOffset offset;
    decisions::Applied applied;
};

Outcome<logclient::LogPage> readLog(logclient::LogService &log, LogOffset from, std::size_t most)
{
    return waitFor<logclient::LogPage>(
            [&](auto handler) { log.read(from, most, longPoll, logTimeout, handler); });
}

// Replays `page` up to the record `id`; nothing when the page doesn't have it.
std::optional<Placed> replayPage(decisions::ClusterState &state, const logclient::LogPage &page,
                                 const decisions::RecordId &id)
{
    for (const logclient::LogEntry &entry : page.entries) {
        const auto record = records::decodeRecord(entry.body);
        if (!record) {
            state.skip(entry.offset);
            continue;
        }
        const decisions::Applied applied = state.apply(entry.offset, *record);
        if (record->id == id)
            return Placed{entry.offset, applied};
    }
    return std::nullopt;
}

// The log is the only witness: the append's response can be lost after it took effect, and another
// record can have come between.
Outcome<Placed> findOnLog(Change &change, const ChangeContext &context)
{
    const core::TimePoint limit = context.pacer.now() + context.waitLimit;
    while (context.pacer.now() < limit) {
        const LogOffset from(change.state.offset().value + 1);
        const Outcome<logclient::LogPage> page = readLog(context.log, from, recordsPerRead);
        if (page && page->first > from)
            return Error{ErrorKind::Unavailable,
                         "the log no longer holds the records since the state that was read; run "
                         "the command again"};
        if (page) {
            if (const auto placed = replayPage(change.state, *page, change.record.id))
                return *placed;
        }
        if (!page || page->entries.empty())
            context.pacer.pause(pauseBetweenQuestions);
    }
    return Error{ErrorKind::Timeout,
                 "whether the append took effect is open; run plan or report later to see, and "
                 "don't assume either"};
}

// The change that stood in the way, as the state shows it.
LogOffset changedAt(const decisions::ClusterState &state, const decisions::RecordBody &body)
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

// Who proposed the record at `offset`; empty when the log no longer holds it.
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
    const LogOffset winner = changedAt(change.state, change.record.body);
    if (winner <= change.record.basedOn)
        return Error{ErrorKind::InvalidDocument, "not in force: " + reason};
    const std::string name = proposerAt(context.log, winner);
    return Error{ErrorKind::Conflict,
                 "not in force: " + (name.empty() ? "another operator" : name)
                         + " won the race with record " + std::to_string(winner.value) + " ("
                         + reason + ")"};
}

// A change that replay would drop already is not appended at all.
std::optional<Error> refusedBefore(const Change &change, const ChangeContext &context)
{
    decisions::ClusterState trial = change.state;
    const LogOffset next(trial.offset().value + 1);
    const decisions::Applied applied = trial.apply(next, change.record);
    if (applied.accepted)
        return std::nullopt;
    return describeRefusal(change, applied.reason, context);
}

// A leaving instance takes no new requests, so nothing waits for it.
std::vector<std::string> instancesBehind(const std::vector<report::InstanceView> &instances,
                                         LogOffset offset)
{
    std::vector<std::string> behind;
    for (const report::InstanceView &instance : instances) {
        if (instance.leaving || (instance.heard && instance.heard->offset >= offset))
            continue;
        behind.push_back(instance.name.value
                         + (instance.heard ? " at " + std::to_string(instance.heard->offset.value)
                                           : std::string(" not heard of")));
    }
    return behind;
}

std::size_t liveCount(const std::vector<report::InstanceView> &instances)
{
    return static_cast<std::size_t>(
            std::count_if(instances.begin(), instances.end(),
                          [](const report::InstanceView &instance) { return !instance.leaving; }));
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string result;
    for (const std::string &text : texts)
        result += (result.empty() ? "" : ", ") + text;
    return result;
}

// Number of live instances once all have replayed `offset`.
Outcome<std::size_t> waitUntilEverywhere(LogOffset offset, const ChangeContext &context)
{
    const core::TimePoint limit = context.pacer.now() + context.waitLimit;
    std::string missing = "no instance listed";
    do {
        const auto instances = context.cluster.fetchInstances();
        if (instances) {
            const std::vector<std::string> behind = instancesBehind(*instances, offset);
            // An empty list says nothing about who is live.
            if (behind.empty() && liveCount(*instances) > 0)
                return liveCount(*instances);
            missing = behind.empty() ? "no instance listed" : joined(behind);
        } else {
            missing = instances.error().message;
        }
        context.pacer.pause(pauseBetweenQuestions);
    } while (context.pacer.now() < limit);
    return Error{ErrorKind::Timeout,
                 "accepted as record " + std::to_string(offset.value)
                         + ", but not yet in force everywhere (" + missing
                         + "); it stays accepted"};
}

void writeInForce(const Output &output, LogOffset offset, std::size_t instances,
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

ExitCode carryOut(Change change, const ChangeContext &context, const Output &output)
{
    if (const std::optional<Error> refused = refusedBefore(change, context))
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
    const Outcome<Placed> placed = findOnLog(change, context);
    if (!placed)
        return fail(output, placed.error());
    if (!placed->applied.accepted)
        return fail(output, describeRefusal(change, placed->applied.reason, context));

    const Outcome<std::size_t> instances = waitUntilEverywhere(placed->offset, context);
    if (!instances)
        return fail(output, instances.error());
    writeInForce(output, placed->offset, *instances, context.pacer.now() - begin);
    return ExitCode::Done;
}

} // namespace amaranthdale::cli
