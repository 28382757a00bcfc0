// Client and server side of the messages between instances.
#include "amaranthdale/control/peer_protocol.h"

#include <charconv>

namespace amaranthdale::control {

namespace {

constexpr std::string_view countsPrefix = "/key-counts/";
constexpr std::string_view stepDownPrefix = "/step-down/";
constexpr auto messageTimeout = std::chrono::milliseconds(800);
constexpr unsigned statusOk = 200;
constexpr std::size_t maxKeyCounts = 20000; ///< Limits the body size; further keys are omitted.

class HttpPeerChannel : public PeerChannel
{
public:
    explicit HttpPeerChannel(core::HttpSender &httpSender) : sender(httpSender) { }

    void requestStepDown(const keyspace::Predecessor &predecessor, const core::ServiceName &service,
                         std::function<void()> ended) override
    {
        const auto endpoint =
                core::attempt([&] { return core::parseEndpoint(predecessor.peerAddress); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(stepDownPrefix) + service.value;
        request.body = std::to_string(predecessor.instance.incarnation.value);
        this->sender.send(*endpoint, std::move(request), messageTimeout,
                          [ended = std::move(ended)](core::Outcome<core::HttpResponse> outcome) {
                              if (outcome && outcome->status == statusOk)
                                  ended();
                          });
    }

    void report(const std::string &granterPeer, const core::ServiceName &service,
                const std::vector<keyspace::KeyCount> &counts) override
    {
        const auto endpoint = core::attempt([&] { return core::parseEndpoint(granterPeer); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(countsPrefix) + service.value;
        for (std::size_t index = 0; index < std::min(counts.size(), maxKeyCounts); ++index)
            request.body += std::to_string(counts[index].first) + ' '
                    + std::to_string(counts[index].second) + '\n';
        // Failures are ignored: the next report compensates for a lost one.
        this->sender.send(*endpoint, std::move(request), messageTimeout, [](auto) {});
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
        if (key.ec != std::errc() || key.ptr == end || *key.ptr != ' '
            || count.first >= keyspace::keyCount)
            return std::nullopt;
        const auto number = std::from_chars(key.ptr + 1, end, count.second);
        if (number.ec != std::errc() || number.ptr == end || *number.ptr != '\n')
            return std::nullopt;
        counts.push_back(count);
        position = number.ptr + 1;
    }
    return counts;
}

class PeerHandler : public core::RequestHandler
{
public:
    PeerHandler(core::Incarnation ownIncarnation, CountsHandler countsHandler,
                StepDownHandler stepDownHandler)
        : incarnation(ownIncarnation), onCounts(std::move(countsHandler)),
          onStepDown(std::move(stepDownHandler))
    { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        const bool done = request.method == "POST" && this->dispatch(request);
        respond(core::makeResponse(done ? statusOk : 400, "{}"));
        return nullptr;
    }

private:
    bool dispatch(const core::HttpRequest &request)
    {
        const std::string_view target = request.target;
        if (target.starts_with(countsPrefix)) {
            const auto counts = parseCounts(request.body);
            if (counts)
                this->onCounts(serviceOf(target, countsPrefix), *counts);
            return counts.has_value();
        }
        if (!target.starts_with(stepDownPrefix))
            return false;
        std::uint64_t requestedIncarnation = 0;
        const char *end = request.body.data() + request.body.size();
        const auto parsed = std::from_chars(request.body.data(), end, requestedIncarnation);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return false;
        // A different incarnation is an earlier process of this instance, which has ended.
        if (requestedIncarnation == this->incarnation.value)
            this->onStepDown(serviceOf(target, stepDownPrefix));
        return true;
    }

    static core::ServiceName serviceOf(std::string_view target, std::string_view prefix)
    {
        return core::ServiceName(std::string(target.substr(prefix.size())));
    }

    const core::Incarnation incarnation;
    const CountsHandler onCounts;
    const StepDownHandler onStepDown;
};

} // namespace

std::unique_ptr<PeerChannel> makePeerChannel(core::HttpSender &sender)
{
    return std::make_unique<HttpPeerChannel>(sender);
}

std::unique_ptr<core::RequestHandler> makePeerHandler(core::Incarnation incarnation,
                                                      CountsHandler onCounts,
                                                      StepDownHandler onStepDown)
{
    return std::make_unique<PeerHandler>(incarnation, std::move(onCounts), std::move(onStepDown));
}

} // namespace amaranthdale::control
