// Sends a request to a peer and delivers its response or error.
#include "client_stream.h"

#include "fields.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <charconv>

namespace amaranthdale::peer {

namespace {

constexpr unsigned firstFinalStatus = 200;

template<class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

core::ErrorKind errorKindFor(std::uint32_t code)
{
    switch (code) {
    case NGHTTP2_REFUSED_STREAM: // RFC 9113, section 8.7: the request was not processed.
        return core::ErrorKind::Unavailable;
    case NGHTTP2_NO_ERROR:
    case NGHTTP2_CANCEL:
    case NGHTTP2_INTERNAL_ERROR:
        return core::ErrorKind::ConnectionLost;
    default:
        return core::ErrorKind::Protocol;
    }
}

// Reads the body of a response while it is still being received.
class StreamedBody : public core::BodyReader
{
public:
    explicit StreamedBody(std::shared_ptr<ClientStream> source)
        : stream(std::move(source)), finished(std::make_shared<std::atomic<bool>>(false))
    { }

    ~StreamedBody() override
    {
        if (!*this->finished)
            this->stream->cancel();
    }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        auto forwardChunk = [flag = this->finished,
                             handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) {
            if (!chunk || chunk->last)
                *flag = true;
            handler(std::move(chunk));
        };
        boost::asio::post(
                this->stream->strand,
                [target = this->stream, forwardChunk = std::move(forwardChunk)]() mutable {
                    target->readChunk(std::move(forwardChunk));
                });
    }

private:
    const std::shared_ptr<ClientStream> stream;
    // Shared with a pending read, which may complete after this reader is destroyed.
    const std::shared_ptr<std::atomic<bool>> finished;
};

} // namespace

ClientStream::ClientStream(const net::Strand &linkStrand, core::Endpoint endpoint,
                           core::HttpRequest message, core::Duration requestTimeout,
                           core::ResponseHandler responseHandler)
    : strand(linkStrand), to(std::move(endpoint)), timeout(requestTimeout),
      request(std::move(message)), handler(std::move(responseHandler))
{ }

void ClientStream::cancel()
{
    boost::asio::post(this->strand,
                      [self = std::static_pointer_cast<ClientStream>(this->shared_from_this())] {
                          self->fail(core::ErrorKind::ConnectionLost, "the request was cancelled");
                      });
}

bool ClientStream::open(Http2Session &target)
{
    if (this->request.method.empty() || this->request.target.empty()
        || !isValidFieldValue(this->request.method) || !isValidFieldValue(this->request.target)) {
        this->fail(core::ErrorKind::Unavailable,
                   "method or target is empty or contains invalid characters");
        return true;
    }
    FieldList fields;
    fields.add(":method", this->request.method);
    fields.add(":scheme", "http");
    fields.add(":authority",
               core::findHeader(this->request.headers, "Host")
                       .value_or(core::formatEndpoint(this->to)));
    fields.add(":path", this->request.target);
    fields.addAll(this->request.headers);
    const bool withBody = !this->request.body.empty();
    if (withBody) {
        fields.add("content-length", std::to_string(this->request.body.size()));
        this->bodySource.setChunk(core::BodyChunk{std::move(this->request.body), true});
    }
    return target.submitRequest(this->shared_from_this(), fields.entries(), withBody);
}

void ClientStream::onField(std::string_view name, std::string_view value)
{
    if (this->headersComplete)
        return; // Trailers are ignored.
    if (name == ":status")
        this->response.status = parseNumber<unsigned>(value).value_or(0);
    else if (name == "content-length")
        this->response.contentLength = parseNumber<std::uint64_t>(value);
    this->response.headers.push_back(core::Header{std::string(name), std::string(value)});
}

void ClientStream::onHeadersComplete()
{
    if (this->headersComplete)
        return;
    if (this->response.status < firstFinalStatus)
        this->response = {};
    else
        this->headersComplete = true;
}

void ClientStream::onStreamClosed(std::uint32_t code)
{
    if (this->responseComplete && code == NGHTTP2_NO_ERROR)
        return;
    const core::ErrorKind kind =
            this->headersSent ? errorKindFor(code) : core::ErrorKind::Unavailable;
    this->failure = core::Error{kind,
                                core::formatEndpoint(this->to)
                                        + ": the peer closed the stream before the response was "
                                          "complete, HTTP/2 error code "
                                        + std::to_string(code)};
}

void ClientStream::onSessionClosed()
{
    if (this->responseComplete)
        return;
    this->failure = core::Error{
            this->headersSent ? core::ErrorKind::ConnectionLost : core::ErrorKind::Unavailable,
            core::formatEndpoint(this->to)
                    + ": the connection was closed before the response was complete"};
}

void ClientStream::process()
{
    if (this->finished)
        return;
    if (this->responseDelivered)
        return this->deliverChunk();
    if (this->headersComplete && (this->responseComplete || !this->failure))
        return this->deliverResponse();
    if (this->failure)
        this->finish(*this->failure);
}

void ClientStream::deliverResponse()
{
    this->responseDelivered = true;
    this->clearDeadline();
    std::erase_if(this->response.headers,
                  [](const core::Header &header) { return header.name.front() == ':'; });
    if (this->responseComplete) {
        if (this->request.method != "HEAD" && !this->response.contentLength)
            this->response.contentLength = this->bodyBuffer.size();
        this->response.body = core::makeStringBody(std::move(this->bodyBuffer));
        return this->finish(std::move(this->response));
    }
    this->response.body = std::make_shared<StreamedBody>(
            std::static_pointer_cast<ClientStream>(this->shared_from_this()));
    const auto call = std::exchange(this->handler, nullptr);
    call(std::move(this->response));
}

void ClientStream::readChunk(ChunkHandler reader)
{
    if (this->finished)
        return reader(this->failure.value_or(
                core::Error{core::ErrorKind::ConnectionLost,
                            "the response was already read to its end or cancelled"}));
    this->chunkHandler = std::move(reader);
    this->setDeadlineActive(true);
    this->deliverChunk();
}

void ClientStream::deliverChunk()
{
    if (!this->chunkHandler)
        return;
    const bool hasData = !this->bodyBuffer.empty();
    if (!hasData && !this->responseComplete && !this->failure)
        return;
    this->clearDeadline();
    const auto reader = std::exchange(this->chunkHandler, nullptr);
    if (!hasData && !this->responseComplete) {
        this->finished = true;
        return reader(*this->failure);
    }
    if (this->session)
        this->session->consume(*this, this->bodyBuffer.size());
    this->finished = this->responseComplete;
    reader(core::BodyChunk{std::exchange(this->bodyBuffer, {}), this->responseComplete});
}

void ClientStream::fail(core::ErrorKind kind, const std::string &reason)
{
    if (this->finished)
        return;
    const core::Error error{this->headersSent ? kind : core::ErrorKind::Unavailable,
                            core::formatEndpoint(this->to) + ": " + reason};
    this->failure = error;
    if (this->session)
        this->session->resetStream(*this, NGHTTP2_CANCEL);
    const auto reader = std::exchange(this->chunkHandler, nullptr);
    this->bodyBuffer.clear();
    this->finish(error);
    if (reader)
        reader(error);
}

void ClientStream::finish(core::Outcome<core::HttpResponse> outcome)
{
    this->finished = true;
    this->clearDeadline();
    if (const auto call = std::exchange(this->handler, nullptr))
        call(std::move(outcome));
}

void ClientStream::clearDeadline()
{
    this->setDeadlineActive(false);
}

} // namespace amaranthdale::peer
