// HTTP client of the log service.
#include "amaranthdale/logclient/log_service.h"

#include "json_exchange.h"

#include <algorithm>
#include <limits>

namespace amaranthdale::logclient {

namespace {

using records::ObjectReader;
using records::Presence;

void readEntry(ObjectReader &reader, LogEntry &entry)
{
    reader.number("offset", entry.offset);
    reader.text("body", entry.body, detail::maxResponseBytes);
}

void readPage(ObjectReader &reader, LogPage &page)
{
    reader.number("first", page.first);
    reader.number("next", page.next);
    reader.objects("records", Presence::Required, [&page](ObjectReader &element) {
        readEntry(element, page.entries.emplace_back());
    });
    reader.rejectUnknownFields();
}

// A gap or a wrong first offset would make this instance diverge from the others on replay.
bool isContiguous(const LogPage &page, core::LogOffset from)
{
    std::uint64_t expected = std::max(from, page.first).value;
    for (const LogEntry &entry : page.entries) {
        if (entry.offset.value != expected)
            return false;
        ++expected;
    }
    return page.entries.empty() || expected <= page.next.value;
}

core::Outcome<LogPage> toPage(core::Outcome<std::string> body, core::LogOffset from)
{
    if (!body)
        return body.error();
    auto page = detail::parseJsonBody<LogPage>(*body, readPage);
    if (page && !isContiguous(*page, from))
        return core::Error{core::ErrorKind::Protocol,
                           "the log returned a page with missing records; retry the read"};
    return page;
}

core::Outcome<core::LogOffset> toOffset(core::Outcome<std::string> body)
{
    if (!body)
        return body.error();
    return detail::parseJsonBody<core::LogOffset>(
            *body, [](ObjectReader &reader, core::LogOffset &offset) {
                reader.number("offset", offset);
                reader.rejectUnknownFields();
            });
}

class HttpLogService : public LogService
{
public:
    HttpLogService(core::HttpSender &httpSender, core::Endpoint to, std::string streamName)
        : sender(httpSender), endpoint(std::move(to)),
          path("/streams/" + std::move(streamName) + "/records")
    { }

    void append(std::string body, core::Duration timeout,
                std::function<void(core::Outcome<core::LogOffset>)> handler) override
    {
        core::HttpRequest request{"POST", this->path, {}, std::move(body)};
        detail::sendJsonRequest(
                this->sender, this->endpoint, std::move(request), timeout,
                [handler = std::move(handler)](core::Outcome<std::string> response) {
                    handler(toOffset(std::move(response)));
                });
    }

    void read(core::LogOffset from, std::size_t maxEntries, core::Duration wait,
              core::Duration timeout, std::function<void(core::Outcome<LogPage>)> handler) override
    {
        const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        const std::string query = "?from=" + std::to_string(from.value)
                + "&max=" + std::to_string(maxEntries) + "&waitMs=" + std::to_string(waitMs);
        detail::sendJsonRequest(
                this->sender, this->endpoint, {"GET", this->path + query, {}, {}}, wait + timeout,
                [from, handler = std::move(handler)](core::Outcome<std::string> body) {
                    handler(toPage(std::move(body), from));
                });
    }

private:
    core::HttpSender &sender;
    const core::Endpoint endpoint;
    const std::string path;
};

} // namespace

std::unique_ptr<LogService> makeLogService(core::HttpSender &sender, core::Endpoint endpoint,
                                           std::string stream)
{
    return std::make_unique<HttpLogService>(sender, std::move(endpoint), std::move(stream));
}

} // namespace amaranthdale::logclient
