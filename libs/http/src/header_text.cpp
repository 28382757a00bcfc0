// Serializes each message header into one string, to be sent with the body in one vectored write.
#include "header_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace amaranthdale::http {

namespace {

constexpr std::size_t initialHeaderCapacity = 512;

// Hop-by-hop fields, which are dropped and generated anew for each connection. Content-Length and
// Expect are treated in the same way, since this library determines the framing.
constexpr std::array<std::string_view, 8> hopByHopFields{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Transfer-Encoding",
                                                         "Content-Length",
                                                         "Upgrade",
                                                         "TE",
                                                         "Expect"};

bool isHopByHopField(std::string_view name)
{
    return std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [name](auto field) {
        return boost::beast::iequals(boost::beast::string_view(field.data(), field.size()),
                                     boost::beast::string_view(name.data(), name.size()));
    });
}

// Control characters such as CR and LF would allow header injection.
bool hasNoControlCharacters(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto code = static_cast<unsigned char>(c);
        return (code < 0x20 && c != '\t') || code == 0x7f;
    });
}

bool isToken(std::string_view text)
{
    return !text.empty() && hasNoControlCharacters(text)
            && text.find_first_of(" \t:") == std::string_view::npos;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void appendHeaders(std::string &text, const core::Headers &headers)
{
    for (const core::Header &header : headers) {
        if (isToken(header.name) && hasNoControlCharacters(header.value)
            && !isHopByHopField(header.name))
            appendField(text, header.name, header.value);
    }
}

bool hasNoBody(unsigned status)
{
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status < firstFinalStatus || status == noContent || status == notModified;
}

bool needsContentLength(const core::HttpRequest &request)
{
    return !request.bodyText().empty() || request.method == "POST" || request.method == "PUT"
            || request.method == "PATCH";
}

} // namespace

BodyFraming chooseFraming(const core::HttpResponse &response, const RequestTraits &traits)
{
    if (traits.isHead || hasNoBody(response.status))
        return BodyFraming::None;
    if (response.contentLength)
        return BodyFraming::Length;
    return traits.supportsChunked ? BodyFraming::Chunked : BodyFraming::UntilClose;
}

std::string formatResponseHeader(const core::HttpResponse &response, BodyFraming framing,
                                 bool keepAlive)
{
    const auto reason = boost::beast::http::obsolete_reason(
            static_cast<boost::beast::http::status>(response.status));
    std::string text;
    text.reserve(initialHeaderCapacity);
    text.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    appendHeaders(text, response.headers);
    if (framing == BodyFraming::Chunked)
        appendField(text, "Transfer-Encoding", "chunked");
    else if (response.contentLength && !hasNoBody(response.status))
        appendField(text, "Content-Length", std::to_string(*response.contentLength));
    if (!keepAlive)
        appendField(text, "Connection", "close");
    return text.append("\r\n");
}

std::optional<std::string> formatRequestHeader(const core::HttpRequest &request,
                                               const core::Endpoint &to)
{
    if (!isToken(request.method) || !isToken(request.target.substr(0, 1))
        || !hasNoControlCharacters(request.target) || request.target.find(' ') != std::string::npos)
        return std::nullopt;
    std::string text;
    text.reserve(initialHeaderCapacity);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (!core::findHeader(request.headers, "Host"))
        appendField(text, "Host", core::formatEndpoint(to));
    appendHeaders(text, request.headers);
    if (needsContentLength(request))
        appendField(text, "Content-Length", std::to_string(request.bodyText().size()));
    return text.append("\r\n");
}

core::Headers toHeaders(const boost::beast::http::fields &fields)
{
    core::Headers headers;
    for (const auto &field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.push_back(core::Header{std::string(name.data(), name.size()),
                                       std::string(value.data(), value.size())});
    }
    return headers;
}

} // namespace amaranthdale::http
