// Implementation of endpoints, headers and string bodies.
#include "amaranthdale/core/message.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace amaranthdale::core {

namespace {

constexpr std::size_t maxPort = 65535;

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a))
                == std::tolower(static_cast<unsigned char>(b));
    });
}

class StringBody : public BodyReader
{
public:
    explicit StringBody(std::string content) : text(std::move(content)) { }

    void read(std::function<void(Outcome<BodyChunk>)> handler) override
    {
        handler(BodyChunk{std::move(this->text), true});
    }

private:
    std::string text;
};

// Accumulates a body from its chunks. The handler of the pending read holds a reference to it.
class BodyCollector : public std::enable_shared_from_this<BodyCollector>
{
public:
    BodyCollector(std::shared_ptr<BodyReader> source, std::size_t byteLimit,
                  std::function<void(Outcome<std::string>)> whenDone)
        : body(std::move(source)), limit(byteLimit), handler(std::move(whenDone))
    { }

    void readNext()
    {
        this->body->read([self = this->shared_from_this()](Outcome<BodyChunk> chunk) {
            self->onChunk(std::move(chunk));
        });
    }

private:
    void onChunk(Outcome<BodyChunk> chunk)
    {
        if (!chunk)
            return this->handler(chunk.error());
        this->text += chunk->data;
        if (this->text.size() > this->limit)
            return this->handler(Error{ErrorKind::Protocol,
                                       "body exceeds " + std::to_string(this->limit)
                                               + " bytes; raise the limit or send less"});
        if (chunk->last)
            return this->handler(std::move(this->text));
        this->readNext();
    }

    std::shared_ptr<BodyReader> body;
    std::size_t limit;
    std::function<void(Outcome<std::string>)> handler;
    std::string text;
};

} // namespace

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return fail(ErrorKind::InvalidArgument,
                    "'" + std::string(text) + "' is not a valid endpoint; expected address:port");
    std::string_view address = text.substr(0, colon);
    if (address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    std::size_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port > maxPort)
        return fail(ErrorKind::InvalidArgument,
                    "'" + std::string(digits)
                            + "' is not a valid port; expected a number from 0 to 65535");
    return Endpoint{std::string(address), static_cast<std::uint16_t>(port)};
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = isV6 ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return equalIgnoringCase(header.name, name);
    });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

void setHeader(Headers &headers, std::string_view name, std::string value)
{
    std::erase_if(headers,
                  [name](const Header &header) { return equalIgnoringCase(header.name, name); });
    headers.push_back(Header{std::string(name), std::move(value)});
}

std::unique_ptr<BodyReader> makeStringBody(std::string text)
{
    return std::make_unique<StringBody>(std::move(text));
}

void readWholeBody(std::shared_ptr<BodyReader> body, std::size_t limit,
                   std::function<void(Outcome<std::string>)> handler)
{
    std::make_shared<BodyCollector>(std::move(body), limit, std::move(handler))->readNext();
}

HttpResponse makeResponse(unsigned status, std::string body, std::string contentType)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back(Header{"Content-Type", std::move(contentType)});
    response.contentLength = body.size();
    response.body = makeStringBody(std::move(body));
    return response;
}

} // namespace amaranthdale::core
