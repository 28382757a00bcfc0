// Encoding of key counts and the endpoint that takes them.
#include "amaranthdale/control/peer_protocol.h"

#include <charconv>

namespace amaranthdale::control {

namespace {

constexpr std::string_view pathPrefix = "/key-counts/";
constexpr auto reportTimeout = std::chrono::milliseconds(800);
constexpr std::size_t mostCounts = 20000; ///< Bounds the body; further keys are left out.

class HttpLoadReporter : public LoadReporter
{
public:
    explicit HttpLoadReporter(core::HttpSender &httpSender) : sender(httpSender) { }

    void report(const std::string &granterPeer, const core::ServiceName &service,
                const std::vector<keyspace::KeyCount> &counts) override
    {
        const auto endpoint = core::attempt([&] { return core::parseEndpoint(granterPeer); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(pathPrefix) + service.value;
        for (std::size_t index = 0; index < std::min(counts.size(), mostCounts); ++index)
            request.body += std::to_string(counts[index].first) + ' '
                    + std::to_string(counts[index].second) + '\n';
        // A lost report is made up for by the next one.
        this->sender.send(*endpoint, std::move(request), reportTimeout, [](auto) { });
    }

private:
    core::HttpSender &sender;
};

std::optional<std::vector<keyspace::KeyCount>> parseCounts(std::string_view text)
{
    std::vector<keyspace::KeyCount> counts;
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    while (position != end) {
        keyspace::KeyCount count{};
        const auto key = std::from_chars(position, end, count.first);
        if (key.ec != std::errc() || key.ptr == end || *key.ptr != ' ')
            return std::nullopt;
        const auto number = std::from_chars(key.ptr + 1, end, count.second);
        if (number.ec != std::errc() || number.ptr == end || *number.ptr != '\n')
            return std::nullopt;
        counts.push_back(count);
        position = number.ptr + 1;
    }
    return counts;
}

class ReportHandler : public core::RequestHandler
{
public:
    explicit ReportHandler(CountsHandler countsHandler) : handler(std::move(countsHandler)) { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        const std::string_view target = request.target;
        const auto counts = parseCounts(request.body);
        if (request.method != "POST" || !target.starts_with(pathPrefix) || !counts) {
            respond(core::makeResponse(400, "{}"));
            return nullptr;
        }
        this->handler(core::ServiceName(std::string(target.substr(pathPrefix.size()))), *counts);
        respond(core::makeResponse(200, "{}"));
        return nullptr;
    }

private:
    CountsHandler handler;
};

} // namespace

std::unique_ptr<LoadReporter> makeLoadReporter(core::HttpSender &sender)
{
    return std::make_unique<HttpLoadReporter>(sender);
}

std::unique_ptr<core::RequestHandler> makeReportHandler(CountsHandler handler)
{
    return std::make_unique<ReportHandler>(std::move(handler));
}

} // namespace amaranthdale::control
