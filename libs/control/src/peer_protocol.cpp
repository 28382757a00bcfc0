// Client and server side of the messages between instances.
#include "amaranthdale/control/peer_protocol.h"

#include "amaranthdale/control/speed_report.h"

#include <charconv>

namespace amaranthdale::control {

namespace {

constexpr std::string_view countsPrefix = "/key-counts/";
constexpr std::string_view speedsPrefix = "/server-speeds/";
constexpr std::string_view stepDownPrefix = "/step-down/";
constexpr std::string_view takeOverPrefix = "/take-over/";
constexpr std::string_view statusPrefix = "/granter-status/";
constexpr std::string_view leasesHeading = "leases";
constexpr auto messageTimeout = std::chrono::milliseconds(800);
// An elected instance takes over if the granter doesn't answer, so this delays its replacement.
constexpr auto queryTimeout = std::chrono::milliseconds(400);
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t maxKeyCounts = 20000; ///< Limits the body size; further keys are omitted.
// A line for each of some thousand ranges.
constexpr std::size_t maxReportBytes = 256 * 1024;
// No lease is longer than the platform's limit of 10 s plus the wait for an earlier granter.
constexpr std::uint64_t maxLeaseMilliseconds = 60000;

// Removes a number from the start of `text`.
std::optional<std::uint64_t> takeNumber(std::string_view &text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    return number;
}

// Removes `separator` and a number from the start of `text`.
std::optional<std::uint64_t> takeNumberAfter(char separator, std::string_view &text)
{
    if (text.empty() || text.front() != separator)
        return std::nullopt;
    text.remove_prefix(1);
    return takeNumber(text);
}

std::string formatLeaseReport(const keyspace::LeaseReport &leases)
{
    std::string text = std::string(leasesHeading) + ' ' + std::to_string(leases.size()) + '\n';
    for (const keyspace::HeldLease &lease : leases) {
        const auto remaining =
                std::chrono::ceil<std::chrono::milliseconds>(lease.remaining).count();
        text += std::to_string(lease.keys.first) + ' ' + std::to_string(lease.keys.last) + ' '
                + std::to_string(remaining) + '\n';
    }
    return text;
}

// Returns nothing unless the report is complete: a lease that is left out counts as ended.
std::optional<keyspace::LeaseReport> parseLeaseReport(std::string_view text)
{
    if (!text.starts_with(leasesHeading))
        return std::nullopt;
    text.remove_prefix(leasesHeading.size());
    const auto count = takeNumberAfter(' ', text);
    if (!count || *count > keyspace::keyCount)
        return std::nullopt;
    keyspace::LeaseReport leases;
    for (std::uint64_t index = 0; index < *count; ++index) {
        const auto first = takeNumberAfter('\n', text);
        const auto last = takeNumberAfter(' ', text);
        const auto remaining = takeNumberAfter(' ', text);
        if (!first || !last || !remaining || *first > *last || *last >= keyspace::keyCount
            || *remaining > maxLeaseMilliseconds)
            return std::nullopt;
        leases.push_back({{static_cast<keyspace::Key>(*first), static_cast<keyspace::Key>(*last)},
                          std::chrono::milliseconds(static_cast<std::int64_t>(*remaining))});
    }
    return text == "\n" ? std::optional(leases) : std::nullopt;
}

class HttpPeerChannel : public PeerChannel
{
public:
    explicit HttpPeerChannel(core::HttpSender &httpSender) : sender(httpSender) { }

    void requestStepDown(const keyspace::StepDownRequest &stepDown,
                         const core::ServiceName &service, EndedHandler ended) override
    {
        const auto endpoint = core::attempt(
                [&] { return core::parseEndpoint(stepDown.predecessor.peerAddress); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(stepDownPrefix) + service.value;
        request.body = std::to_string(stepDown.predecessor.instance.incarnation.value) + ' '
                + std::to_string(stepDown.successorEnd);
        request.completionTimeout = messageTimeout;
        this->sender.send(*endpoint, std::move(request), messageTimeout,
                          [ended = std::move(ended)](core::Outcome<core::HttpResponse> outcome) {
                              if (!outcome || outcome->status != statusOk)
                                  return;
                              core::readWholeBody(outcome->body, maxReportBytes,
                                                  [ended](core::Outcome<std::string> body) {
                                                      if (body)
                                                          ended(parseLeaseReport(*body));
                                                  });
                          });
    }

    void requestTakeover(const std::string &peerAddress, const core::ServiceName &service,
                         const core::InstanceId &granter) override
    {
        const auto endpoint = core::attempt([&] { return core::parseEndpoint(peerAddress); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(takeOverPrefix) + service.value;
        request.body = std::to_string(granter.incarnation.value) + ' ' + granter.name.value;
        // The takeover itself is the answer: the successor asks this instance to step down.
        this->sender.send(*endpoint, std::move(request), messageTimeout, [](auto) {});
    }

    void queryGranter(const keyspace::Predecessor &granter, const core::ServiceName &service,
                      std::function<void(std::optional<bool>)> handler) override
    {
        const auto endpoint =
                core::attempt([&] { return core::parseEndpoint(granter.peerAddress); });
        if (!endpoint)
            return handler(std::nullopt);
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(statusPrefix) + service.value;
        request.body = std::to_string(granter.instance.incarnation.value);
        this->sender.send(
                *endpoint, std::move(request), queryTimeout,
                [handler = std::move(handler)](core::Outcome<core::HttpResponse> outcome) {
                    const bool answered = outcome
                            && (outcome->status == statusOk || outcome->status == statusConflict);
                    handler(answered ? std::optional(outcome->status == statusOk) : std::nullopt);
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

    void reportSpeeds(const std::string &granterPeer, const core::ServiceName &service,
                      const std::vector<balance::ServerTimes> &servers) override
    {
        const auto endpoint = core::attempt([&] { return core::parseEndpoint(granterPeer); });
        if (!endpoint)
            return;
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(speedsPrefix) + service.value;
        request.body = formatSpeedReport(servers);
        // Failures are ignored: each report contains all that is known of its servers.
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
    PeerHandler(core::Incarnation ownIncarnation, PeerListener &peerListener)
        : incarnation(ownIncarnation), listener(peerListener)
    { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        if (request.method != "POST")
            respond(core::makeResponse(statusBadRequest, "{}"));
        else
            respond(this->dispatch(request));
        return nullptr;
    }

private:
    core::HttpResponse dispatch(const core::HttpRequest &request)
    {
        const std::string_view target = request.target;
        if (target.starts_with(countsPrefix))
            return this->receiveCounts(request);
        if (target.starts_with(speedsPrefix))
            return this->receiveSpeeds(request);
        if (target.starts_with(stepDownPrefix))
            return this->stepDown(request);
        if (target.starts_with(takeOverPrefix))
            return this->takeOver(request);
        if (target.starts_with(statusPrefix))
            return this->reportStatus(request);
        return core::makeResponse(statusBadRequest, "{}");
    }

    core::HttpResponse receiveCounts(const core::HttpRequest &request)
    {
        const auto counts = parseCounts(request.body);
        if (!counts)
            return core::makeResponse(statusBadRequest, "{}");
        this->listener.onKeyCounts(serviceOf(request.target, countsPrefix), *counts);
        return core::makeResponse(statusOk, "{}");
    }

    core::HttpResponse receiveSpeeds(const core::HttpRequest &request)
    {
        const auto servers = parseSpeedReport(request.body);
        if (!servers)
            return core::makeResponse(statusBadRequest, "{}");
        this->listener.onServerTimes(serviceOf(request.target, speedsPrefix), *servers);
        return core::makeResponse(statusOk, "{}");
    }

    core::HttpResponse stepDown(const core::HttpRequest &request)
    {
        std::string_view body = request.body;
        const auto requested = takeNumber(body);
        const auto end = takeNumberAfter(' ', body);
        if (!requested || !end || !body.empty())
            return core::makeResponse(statusBadRequest, "{}");
        // A different incarnation is an earlier process of this instance, which has ended. Its
        // leases are not known.
        if (*requested != this->incarnation.value)
            return core::makeResponse(statusOk, "{}");
        const auto leases =
                this->listener.onStepDown(serviceOf(request.target, stepDownPrefix), *end);
        return core::makeResponse(statusOk, leases ? formatLeaseReport(*leases) : "{}");
    }

    core::HttpResponse takeOver(const core::HttpRequest &request)
    {
        std::string_view body = request.body;
        const auto granterIncarnation = takeNumber(body);
        if (!granterIncarnation || body.size() < 2 || body.front() != ' ')
            return core::makeResponse(statusBadRequest, "{}");
        const core::InstanceId granter{core::InstanceName(std::string(body.substr(1))),
                                       core::Incarnation(*granterIncarnation)};
        const bool accepted = this->listener.onTakeoverRequest(
                serviceOf(request.target, takeOverPrefix), granter);
        return core::makeResponse(accepted ? statusOk : statusUnavailable, "{}");
    }

    core::HttpResponse reportStatus(const core::HttpRequest &request)
    {
        std::string_view body = request.body;
        const auto requested = takeNumber(body);
        if (!requested || !body.empty())
            return core::makeResponse(statusBadRequest, "{}");
        const bool keeps = *requested == this->incarnation.value
                && this->listener.keepsRole(serviceOf(request.target, statusPrefix));
        return core::makeResponse(keeps ? statusOk : statusConflict, "{}");
    }

    static core::ServiceName serviceOf(std::string_view target, std::string_view prefix)
    {
        return core::ServiceName(std::string(target.substr(prefix.size())));
    }

    const core::Incarnation incarnation;
    PeerListener &listener;
};

} // namespace

std::unique_ptr<PeerChannel> makePeerChannel(core::HttpSender &sender)
{
    return std::make_unique<HttpPeerChannel>(sender);
}

std::unique_ptr<core::RequestHandler> makePeerHandler(core::Incarnation incarnation,
                                                      PeerListener &listener)
{
    return std::make_unique<PeerHandler>(incarnation, listener);
}

} // namespace amaranthdale::control
