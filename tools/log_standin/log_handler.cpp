// The log service's protocol over streams held in memory.
#include "log_standin/log_handler.h"

#include "common/replies.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t mostPerPage = 10'000;
constexpr std::uint64_t defaultPerPage = 1'000;
constexpr std::chrono::milliseconds longestWait = std::chrono::seconds(60);

// Records travel as JSON strings, which hold UTF-8 only.
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
    LogFaults faults = this->state.with([](State &held) { return held.faults; });
    std::vector<Reply> refused;
    if (request.method == "PUT") {
        auto fault =
                readJsonBody(request.body, [&faults](auto &reader) { readFaults(reader, faults); });
        if (fault)
            return respond(std::move(*fault));
        refused = this->state.with([&faults](State &held) {
            held.faults = faults;
            return faults.down ? refuseWaiters(held) : std::vector<Reply>();
        });
    }
    this->send(std::move(refused));
    respond(replyJson(statusOk, toJson(faults)));
}

void LogHandler::append(const std::string &stream, std::string body,
                        const core::ResponseHandler &respond)
{
    const LogFaults faults = this->state.with([](State &held) { return held.faults; });
    if (faults.down)
        return respond(replyError(statusUnavailable, "the log is down; nothing was appended"));
    if (!isUtf8(body))
        return respond(replyError(statusBadRequest, "the record is no UTF-8; encode it"));
    if (faults.effectDelay == core::Duration::zero())
        return this->takeEffect(stream, body, respond);
    this->clock.schedule(this->clock.now() + faults.effectDelay,
                         [this, stream, body = std::move(body), respond] {
                             this->takeEffect(stream, body, respond);
                         });
}

void LogHandler::takeEffect(const std::string &stream, const std::string &body,
                            const core::ResponseHandler &respond)
{
    const auto at = std::chrono::time_point_cast<std::chrono::microseconds>(this->clock.wallNow());
    std::uint64_t offset = 0;
    bool lost = false;
    core::Duration delay{};
    std::vector<Reply> satisfied = this->state.with([&](State &held) {
        offset = held.streams[stream].append(body, this->retain);
        delay = held.faults.appendDelay;
        lost = held.faults.loseAppendResponses > 0;
        held.faults.loseAppendResponses -= lost ? 1 : 0;
        return takeSatisfied(held, stream);
    });
    this->sink.write(history::AppendEvent{at, core::LogOffset(offset), body});
    this->send(std::move(satisfied));
    respondAfter(this->clock, delay, respond,
                 lost ? makeBrokenResponse() : replyJson(statusOk, {{"offset", offset}}));
}

void LogHandler::read(const std::string &stream, const HttpTarget &target,
                      const core::ResponseHandler &respond)
{
    const auto from = target.number("from", 1);
    const auto most = target.number("max", defaultPerPage);
    const auto waitMs = target.number("waitMs", 0);
    if (!from || !most || !waitMs || *most == 0)
        return respond(replyError(statusBadRequest,
                                  "from, max and waitMs must be whole numbers, max above 0"));
    Waiter waiter{stream, std::max<std::uint64_t>(*from, 1),
                  static_cast<std::size_t>(std::min(*most, mostPerPage)), respond, 0};
    const auto waitBound = static_cast<std::uint64_t>(longestWait.count());
    const auto wait = std::chrono::milliseconds(std::min(*waitMs, waitBound));
    const auto delay = this->state.with([](State &held) { return held.faults.readDelay; });
    if (delay == core::Duration::zero())
        return this->readNow(std::move(waiter), wait);
    this->clock.schedule(this->clock.now() + delay,
                         [this, waiter = std::move(waiter), wait] { this->readNow(waiter, wait); });
}

void LogHandler::readNow(Waiter waiter, core::Duration wait)
{
    const core::ResponseHandler respond = waiter.respond;
    std::optional<core::HttpResponse> response =
            this->state.with([&](State &held) -> std::optional<core::HttpResponse> {
                if (held.faults.down)
                    return replyError(statusUnavailable, "the log is down; try again later");
                const LogStream &stream = held.streams[waiter.stream];
                if (stream.hasRecord(waiter.from) || wait == core::Duration::zero())
                    return replyJson(statusOk, stream.page(waiter.from, waiter.most));
                const std::uint64_t id = ++held.lastWaiter;
                waiter.timer = this->clock.schedule(this->clock.now() + wait,
                                                    [this, id] { this->endWait(id); });
                held.waiters.emplace(id, std::move(waiter));
                return std::nullopt;
            });
    if (response)
        respond(std::move(*response));
}

void LogHandler::endWait(std::uint64_t id)
{
    std::vector<Reply> replies = this->state.with([id](State &held) {
        std::vector<Reply> result;
        if (auto found = held.waiters.extract(id)) {
            const Waiter &waiter = found.mapped();
            result.push_back({waiter.respond,
                              replyJson(statusOk,
                                        held.streams[waiter.stream].page(waiter.from, waiter.most)),
                              0});
        }
        return result;
    });
    this->send(std::move(replies));
}

std::vector<LogHandler::Reply> LogHandler::takeSatisfied(State &held, const std::string &name)
{
    const LogStream &stream = held.streams[name];
    std::vector<Reply> replies;
    std::erase_if(held.waiters, [&](auto &entry) {
        const Waiter &waiter = entry.second;
        if (waiter.stream != name || !stream.hasRecord(waiter.from))
            return false;
        replies.push_back({waiter.respond,
                           replyJson(statusOk, stream.page(waiter.from, waiter.most)),
                           waiter.timer});
        return true;
    });
    return replies;
}

std::vector<LogHandler::Reply> LogHandler::refuseWaiters(State &held)
{
    std::vector<Reply> replies;
    for (auto &[id, waiter] : held.waiters)
        replies.push_back({waiter.respond,
                           replyError(statusUnavailable, "the log is down; try again later"),
                           waiter.timer});
    held.waiters.clear();
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
