// Client and server side of the messages between granters and witnesses.
#include "amaranthdale/control/witness_protocol.h"

#include "amaranthdale/core/numbers.h"

#include <algorithm>
#include <atomic>

namespace amaranthdale::control {

namespace {

constexpr std::string_view confirmPrefix = "/witness/confirm/";
constexpr std::string_view agreePrefix = "/witness/agree/";
constexpr std::string_view identityPrefix = "/witness/identity/";
constexpr std::string_view confirmedWord = "confirmed ";
constexpr std::string_view unconfirmedWord = "unconfirmed";
// Below the time for which a confirmation counts (1.5 s).
constexpr auto messageTimeout = std::chrono::milliseconds(800);
constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
// Two numbers, a name of 100 characters, and room.
constexpr std::size_t maxBodyBytes = 512;
constexpr std::size_t maxNameBytes = 200;
// An age beyond this is sent as this one: an older confirmation than the longest authority says no
// more.
constexpr std::uint64_t maxAgeMilliseconds = 3'600'000;

// Removes the text up to the next space, or all, and the space.
std::string_view takeWord(std::string_view &text)
{
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes
            && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c != '\x7f'; });
}

// Parses "INCARNATION NAME".
std::optional<core::InstanceId> parseInstance(std::string_view text)
{
    const auto incarnation = core::parseUnsigned(takeWord(text));
    if (!incarnation || !isName(text))
        return std::nullopt;
    return core::InstanceId{core::InstanceName(std::string(text)), core::Incarnation(*incarnation)};
}

std::string formatInstance(const core::InstanceId &instance)
{
    return std::to_string(instance.incarnation.value) + ' ' + instance.name.value;
}

// Rounds down, as a shorter time since the confirmation is the safe side.
std::string formatAgreement(const keyspace::WitnessAgreement &agreement)
{
    if (!agreement.sinceConfirmation)
        return std::string(unconfirmedWord);
    const auto age = std::chrono::floor<std::chrono::milliseconds>(*agreement.sinceConfirmation);
    const auto bounded = std::clamp<std::int64_t>(age.count(), 0, maxAgeMilliseconds);
    return std::string(confirmedWord) + std::to_string(bounded);
}

std::optional<keyspace::WitnessAgreement> parseAgreement(std::string_view text)
{
    if (text == unconfirmedWord)
        return keyspace::WitnessAgreement();
    if (!text.starts_with(confirmedWord))
        return std::nullopt;
    const auto age = core::parseUnsigned(text.substr(confirmedWord.size()));
    if (!age || *age > maxAgeMilliseconds)
        return std::nullopt;
    return keyspace::WitnessAgreement{std::chrono::milliseconds(static_cast<std::int64_t>(*age))};
}

class HttpWitnessChannel : public WitnessChannel
{
public:
    explicit HttpWitnessChannel(core::HttpSender &httpSender) : sender(httpSender) { }

    void requestConfirmation(const keyspace::ConfirmationRequest &request,
                             const core::ServiceName &service,
                             std::function<void()> confirmed) override
    {
        this->post(request.witness.peerAddress, confirmPrefix, service,
                   std::to_string(request.witness.instance.incarnation.value) + ' '
                           + std::to_string(request.granterEnd) + ' '
                           + formatInstance(request.granter),
                   [confirmed = std::move(confirmed)](std::optional<std::string> body) {
                       if (body)
                           confirmed();
                   });
    }

    void requestAgreement(const keyspace::AgreementRequest &request,
                          const core::ServiceName &service,
                          std::function<void(keyspace::WitnessAgreement)> agreed) override
    {
        this->post(request.witness.peerAddress, agreePrefix, service,
                   std::to_string(request.witness.instance.incarnation.value) + ' '
                           + std::to_string(request.successorEnd) + ' '
                           + request.witness.instance.name.value,
                   [agreed = std::move(agreed)](const std::optional<std::string> &body) {
                       const auto agreement = body ? parseAgreement(*body) : std::nullopt;
                       if (agreement)
                           agreed(*agreement);
                   });
    }

    void queryIdentity(const std::string &peerAddress, const core::ServiceName &service,
                       IdentityHandler handler) override
    {
        this->post(peerAddress, identityPrefix, service, "",
                   [handler = std::move(handler)](const std::optional<std::string> &body) {
                       handler(body ? parseInstance(*body) : std::nullopt);
                   });
    }

private:
    // Calls `handler` with the body of the response if its status is 200, otherwise with nothing.
    void post(const std::string &peerAddress, std::string_view prefix,
              const core::ServiceName &service, const std::string &body,
              std::function<void(std::optional<std::string>)> handler)
    {
        const auto endpoint = core::attempt([&] { return core::parseEndpoint(peerAddress); });
        if (!endpoint)
            return handler(std::nullopt);
        const std::string id = std::to_string(++this->lastId) + ' ';
        core::HttpRequest request;
        request.method = "POST";
        request.target = std::string(prefix) + service.value;
        request.body = id + body;
        request.completionTimeout = messageTimeout;
        this->sender.send(
                *endpoint, std::move(request), messageTimeout,
                [handler = std::move(handler), id](core::Outcome<core::HttpResponse> outcome) {
                    if (!outcome || outcome->status != statusOk)
                        return handler(std::nullopt);
                    core::readWholeBody(outcome->body, maxBodyBytes,
                                        [handler, id](core::Outcome<std::string> text) {
                                            const bool matches = text && text->starts_with(id);
                                            handler(matches ? std::optional(text->substr(id.size()))
                                                            : std::nullopt);
                                        });
                });
    }

    core::HttpSender &sender;
    std::atomic<std::uint64_t> lastId{0};
};

class WitnessHandler : public core::RequestHandler
{
public:
    WitnessHandler(core::InstanceId ownId, WitnessListener &witnessListener)
        : self(std::move(ownId)), listener(witnessListener)
    { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        respond(this->dispatch(request));
        return nullptr;
    }

private:
    core::HttpResponse dispatch(const core::HttpRequest &request)
    {
        const std::string_view target = request.target;
        std::string_view body = request.body;
        const auto id = core::parseUnsigned(takeWord(body));
        if (request.method != "POST" || request.body.size() > maxBodyBytes || !id)
            return core::makeResponse(statusBadRequest, "{}");
        const std::string prefix = std::to_string(*id) + ' ';
        if (target.starts_with(confirmPrefix))
            return this->confirm(serviceOf(target, confirmPrefix), prefix, body);
        if (target.starts_with(agreePrefix))
            return this->agree(serviceOf(target, agreePrefix), prefix, body);
        if (target.starts_with(identityPrefix))
            return this->identify(serviceOf(target, identityPrefix), prefix, body);
        return core::makeResponse(statusBadRequest, "{}");
    }

    core::HttpResponse confirm(const core::ServiceName &service, const std::string &idPrefix,
                               std::string_view body)
    {
        const auto incarnation = core::parseUnsigned(takeWord(body));
        const auto end = core::parseUnsigned(takeWord(body));
        const auto granter = parseInstance(body);
        if (!incarnation || !end || !granter)
            return core::makeResponse(statusBadRequest, "{}");
        const bool confirmed = *incarnation == this->self.incarnation.value
                && this->listener.onConfirmationRequest(service, *granter, *end);
        return core::makeResponse(confirmed ? statusOk : statusConflict, idPrefix);
    }

    core::HttpResponse agree(const core::ServiceName &service, const std::string &idPrefix,
                             std::string_view body)
    {
        const auto incarnation = core::parseUnsigned(takeWord(body));
        const auto end = core::parseUnsigned(takeWord(body));
        if (!incarnation || !end || !isName(body))
            return core::makeResponse(statusBadRequest, "{}");
        // Another instance at the address says nothing about the witness.
        if (body != this->self.name.value)
            return core::makeResponse(statusConflict, "{}");
        std::optional<keyspace::WitnessAgreement> agreement;
        if (*incarnation == this->self.incarnation.value)
            agreement = this->listener.onAgreementRequest(service, *end);
        else
            agreement = keyspace::WitnessAgreement{this->listener.processAge()};
        return agreement ? core::makeResponse(statusOk, idPrefix + formatAgreement(*agreement))
                         : core::makeResponse(statusUnavailable, "{}");
    }

    core::HttpResponse identify(const core::ServiceName &service, const std::string &idPrefix,
                                std::string_view body)
    {
        if (!body.empty())
            return core::makeResponse(statusBadRequest, "{}");
        return this->listener.isWitness(service)
                ? core::makeResponse(statusOk, idPrefix + formatInstance(this->self))
                : core::makeResponse(statusUnavailable, "{}");
    }

    static core::ServiceName serviceOf(std::string_view target, std::string_view prefix)
    {
        return core::ServiceName(std::string(target.substr(prefix.size())));
    }

    const core::InstanceId self;
    WitnessListener &listener;
};

} // namespace

std::unique_ptr<WitnessChannel> makeWitnessChannel(core::HttpSender &sender)
{
    return std::make_unique<HttpWitnessChannel>(sender);
}

std::unique_ptr<core::RequestHandler> makeWitnessHandler(core::InstanceId self,
                                                         WitnessListener &listener)
{
    return std::make_unique<WitnessHandler>(std::move(self), listener);
}

} // namespace amaranthdale::control
