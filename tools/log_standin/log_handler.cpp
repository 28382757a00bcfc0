// HTTP handler of the log service stand-in; streams are kept in memory.
#include "log_standin/log_handler.h"

#include "common/replies.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t maxRecordsPerPage = 10'000;
constexpr std::uint64_t defaultRecordsPerPage = 1'000;
constexpr std::chrono::milliseconds maxReadWait = std::chrono::seconds(60);

// Records are sent as JSON strings, which must be valid UTF-8.
bool isUtf8(const std::string &text)
{
    boost::json::error_code error;
    boost::json::parse(boost::json::serialize(boost::json::string(text)), error);
    return !error;
}

} // namespace

LogHandler::LogHandler(clock::Clock &timeSource, history::EventSink &events, std::size_t count)
    : clock(timeSource), sink(events), retain(count), state(tables::LockRank::Ownership)
{ }

std::shared_ptr<core::Exchange> LogHandler::handle(core::HttpRequest request,
                                                   core::ResponseHandler respond)
{
    const HttpTarget target = parseTarget(request.target);
    const auto &segments = target.segments;
    if (segments == std::vector<std::string>{"control"}) {
        this->control(request, respond);
        return nullptr;
    }
    const bool isRecords =
            segments.size() == 3 && segments[0] == "streams" && segments[2] == "records";
    if (isRecords && request.method == "POST")
        this->append(segments[1], std::move(request.body), respond);
    else if (isRecords && request.method == "GET")
        this->read(segments[1], target, respond);
    else
        respond(replyError(statusNotFound, "no such resource; see /streams/{name}/records"));
    return nullptr;
}

void LogHandler::control(const core::HttpRequest &request, const core::ResponseHandler &respond)
{
    LogFaults faults = this->state.with([](State &shared) { return shared.faults; });
    std::vector<Reply> refused;
    if (request.method == "PUT") {
        auto fault =
                readJsonBody(request.body, [&faults](auto &reader) { readFaults(reader, faults); });
        if (fault)
            return respond(std::move(*fault));
        refused = this->state.with([&faults](State &shared) {
            shared.faults = faults;
            return faults.down ? failPendingReads(shared) : std::vector<Reply>();
        });
    }
    this->send(std::move(refused));
    respond(replyJson(statusOk, toJson(faults)));
}

void LogHandler::append(const std::string &stream, std::string body,
                        const core::ResponseHandler &respond)
{
    const LogFaults faults = this->state.with([](State &shared) { return shared.faults; });
    if (faults.down)
        return respond(
                replyError(statusUnavailable, "the log is unavailable; nothing was appended"));
    if (!isUtf8(body))
        return respond(replyError(statusBadRequest, "the record is not valid UTF-8; encode it"));
    if (faults.effectDelay == core::Duration::zero())
        return this->applyAppend(stream, body, respond);
    this->clock.schedule(this->clock.now() + faults.effectDelay,
                         [this, stream, body = std::move(body), respond] {
                             this->applyAppend(stream, body, respond);
                         });
}

void LogHandler::applyAppend(const std::string &stream, const std::string &body,
                             const core::ResponseHandler &respond)
{
    const auto at = std::chrono::time_point_cast<std::chrono::microseconds>(this->clock.wallNow());
    std::uint64_t offset = 0;
    bool lost = false;
    core::Duration delay{};
    std::vector<Reply> readyReplies = this->state.with([&](State &shared) {
        offset = shared.streams[stream].append(body, this->retain);
        delay = shared.faults.appendDelay;
        lost = shared.faults.loseAppendResponses > 0;
        shared.faults.loseAppendResponses -= lost ? 1 : 0;
        return takeReadyReplies(shared, stream);
    });
    this->sink.write(history::AppendEvent{at, core::LogOffset(offset), body});
    this->send(std::move(readyReplies));
    respondAfter(this->clock, delay, respond,
                 lost ? makeBrokenResponse() : replyJson(statusOk, {{"offset", offset}}));
}

void LogHandler::read(const std::string &stream, const HttpTarget &target,
                      const core::ResponseHandler &respond)
{
    const auto from = target.number("from", 1);
    const auto maxRecords = target.number("max", defaultRecordsPerPage);
    const auto waitMs = target.number("waitMs", 0);
    if (!from || !maxRecords || !waitMs || *maxRecords == 0)
        return respond(replyError(
                statusBadRequest,
                "from, max and waitMs must be unsigned integers; max must be at least 1"));
    PendingRead pendingRead{stream, std::max<std::uint64_t>(*from, 1),
                            static_cast<std::size_t>(std::min(*maxRecords, maxRecordsPerPage)),
                            respond, 0};
    const auto maxWaitMs = static_cast<std::uint64_t>(maxReadWait.count());
    const auto wait = std::chrono::milliseconds(std::min(*waitMs, maxWaitMs));
    const auto delay = this->state.with([](State &shared) { return shared.faults.readDelay; });
    if (delay == core::Duration::zero())
        return this->readOrWait(std::move(pendingRead), wait);
    this->clock.schedule(this->clock.now() + delay,
                         [this, pendingRead = std::move(pendingRead), wait] {
                             this->readOrWait(pendingRead, wait);
                         });
}

void LogHandler::readOrWait(PendingRead pendingRead, core::Duration wait)
{
    const core::ResponseHandler respond = pendingRead.respond;
    std::optional<core::HttpResponse> response =
            this->state.with([&](State &shared) -> std::optional<core::HttpResponse> {
                if (shared.faults.down)
                    return replyError(statusUnavailable, "the log is unavailable; retry later");
                const LogStream &stream = shared.streams[pendingRead.stream];
                if (stream.hasRecord(pendingRead.from) || wait == core::Duration::zero())
                    return replyJson(statusOk,
                                     stream.page(pendingRead.from, pendingRead.maxRecords));
                const std::uint64_t id = ++shared.lastReadId;
                pendingRead.timer = this->clock.schedule(this->clock.now() + wait,
                                                         [this, id] { this->expireRead(id); });
                shared.pendingReads.emplace(id, std::move(pendingRead));
                return std::nullopt;
            });
    if (response)
        respond(std::move(*response));
}

void LogHandler::expireRead(std::uint64_t id)
{
    std::vector<Reply> replies = this->state.with([id](State &shared) {
        std::vector<Reply> result;
        if (auto found = shared.pendingReads.extract(id)) {
            const PendingRead &pendingRead = found.mapped();
            result.push_back({pendingRead.respond,
                              replyJson(statusOk,
                                        shared.streams[pendingRead.stream].page(
                                                pendingRead.from, pendingRead.maxRecords)),
                              0});
        }
        return result;
    });
    this->send(std::move(replies));
}

std::vector<LogHandler::Reply> LogHandler::takeReadyReplies(State &shared, const std::string &name)
{
    const LogStream &stream = shared.streams[name];
    std::vector<Reply> replies;
    std::erase_if(shared.pendingReads, [&](auto &entry) {
        const PendingRead &pendingRead = entry.second;
        if (pendingRead.stream != name || !stream.hasRecord(pendingRead.from))
            return false;
        replies.push_back(
                {pendingRead.respond,
                 replyJson(statusOk, stream.page(pendingRead.from, pendingRead.maxRecords)),
                 pendingRead.timer});
        return true;
    });
    return replies;
}

std::vector<LogHandler::Reply> LogHandler::failPendingReads(State &shared)
{
    std::vector<Reply> replies;
    for (auto &[id, pendingRead] : shared.pendingReads)
        replies.push_back({pendingRead.respond,
                           replyError(statusUnavailable, "the log is unavailable; retry later"),
                           pendingRead.timer});
    shared.pendingReads.clear();
    return replies;
}

void LogHandler::send(std::vector<Reply> replies)
{
    for (Reply &reply : replies) {
        if (reply.timer != 0)
            this->clock.cancel(reply.timer);
        reply.respond(std::move(reply.response));
    }
}

} // namespace amaranthdale::tools
