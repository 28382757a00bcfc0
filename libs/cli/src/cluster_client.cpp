// HTTP client of an instance's operators' port.
#include "amaranthdale/cli/cluster_client.h"

#include "amaranthdale/records/state_codec.h"
#include "wait_for.h"

#include <cctype>
#include <cstdio>

namespace amaranthdale::cli {

namespace {

constexpr core::Duration requestTimeout = std::chrono::seconds(5);
constexpr std::size_t maxResponseBytes = 64 * 1024 * 1024;
constexpr std::size_t maxErrorBytes = 300; // Part of an error response shown to the operator.
constexpr unsigned okStatus = 200;
constexpr unsigned notFoundStatus = 404;

// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percentEncode(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (std::isalnum(code) || std::string_view("-._~").find(character) != std::string::npos) {
            result += character;
            continue;
        }
        char escaped[4];
        std::snprintf(escaped, sizeof escaped, "%%%02X", code);
        result += escaped;
    }
    return result;
}

core::Error decodeError(const std::string &target, const std::string &why)
{
    return core::Error{core::ErrorKind::Protocol,
                       "the response to GET " + target + " can't be decoded (" + why
                               + "); check that --instance is an operators' port of this version"};
}

class HttpClusterClient : public ClusterClient
{
public:
    HttpClusterClient(core::HttpSender &httpSender, core::Endpoint to)
        : sender(httpSender), endpoint(std::move(to))
    { }

    core::Outcome<decisions::ClusterState> fetchState() override
    {
        return this->fetchDecoded<decisions::ClusterState>("/state", records::decodeState);
    }

    core::Outcome<std::vector<report::InstanceView>> fetchInstances() override
    {
        return this->fetchDecoded<std::vector<report::InstanceView>>("/instances",
                                                                     report::decodeInstances);
    }

    core::Outcome<report::Explanation> explain(const core::ServiceName &service,
                                               std::string_view key) override
    {
        const std::string target =
                "/explain?service=" + percentEncode(service.value) + "&key=" + percentEncode(key);
        return this->fetchDecoded<report::Explanation>(target, report::decodeExplanation);
    }

    core::Outcome<report::Report> fetchReport() override
    {
        const core::Outcome<std::string> body = this->fetch("/report?format=json");
        if (!body)
            return body.error();
        auto decoded = core::attempt([&body] { return report::decodeReport(*body); });
        if (!decoded)
            return decodeError("/report", decoded.error().message);
        return decoded;
    }

private:
    template<class T, class Decode>
    core::Outcome<T> fetchDecoded(const std::string &target, Decode &&decode)
    {
        const core::Outcome<std::string> body = this->fetch(target);
        if (!body)
            return body.error();
        records::ValidationResult<T> decoded = decode(*body);
        if (!decoded)
            return decodeError(target, records::toError(decoded.faults()).message);
        return std::move(decoded.value());
    }

    core::Outcome<std::string> fetch(const std::string &target)
    {
        core::Outcome<core::HttpResponse> response = waitFor<core::HttpResponse>([&](auto handler) {
            this->sender.send(this->endpoint, {"GET", target, {}, {}}, requestTimeout, handler);
        });
        if (!response)
            return this->withContext(response.error());
        core::Outcome<std::string> body = waitFor<std::string>([&](auto handler) {
            core::readWholeBody(response->body, maxResponseBytes, handler);
        });
        if (!body)
            return this->withContext(body.error());
        if (response->status != okStatus)
            return this->statusError(response->status, *body);
        return body;
    }

    core::Error withContext(const core::Error &error) const
    {
        return core::Error{error.kind,
                           "instance at " + core::formatEndpoint(this->endpoint) + ": "
                                   + error.message + "; name another instance with --instance"};
    }

    core::Error statusError(unsigned status, const std::string &body) const
    {
        const auto kind =
                status == notFoundStatus ? core::ErrorKind::NotFound : core::ErrorKind::Unavailable;
        return core::Error{kind,
                           "instance at " + core::formatEndpoint(this->endpoint)
                                   + " responded with status " + std::to_string(status) + ": "
                                   + body.substr(0, maxErrorBytes)};
    }

    core::HttpSender &sender;
    const core::Endpoint endpoint;
};

} // namespace

std::unique_ptr<ClusterClient> makeClusterClient(core::HttpSender &sender, core::Endpoint endpoint)
{
    return std::make_unique<HttpClusterClient>(sender, std::move(endpoint));
}

} // namespace amaranthdale::cli
