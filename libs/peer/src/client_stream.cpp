// Request fields, response delivery and errors of a request to a peer.
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

core::ErrorKind kindOf(std::uint32_t code)
{
    switch (code) {
    case NGHTTP2_REFUSED_STREAM: // The peer states that it did not begin.
        return core::ErrorKind::Unavailable;
    case NGHTTP2_NO_ERROR:
    case NGHTTP2_CANCEL:
    case NGHTTP2_INTERNAL_ERROR:
        return core::ErrorKind::ConnectionLost;
    default:
        return core::ErrorKind::Protocol;
    }
}

// Body of a response that is still arriving.
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
        auto relay = [flag = this->finished,
                      handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) {
            if (!chunk || chunk->last)
                *flag = true;
            handler(std::move(chunk));
        };
        boost::asio::post(this->stream->strand,
                          [target = this->stream, relay = std::move(relay)]() mutable {
                              target->readChunk(std::move(relay));
                          });
    }

private:
    const std::shared_ptr<ClientStream> stream;
    // Shared with a pending read, which may complete after the reader's end.
    const std::shared_ptr<std::atomic<bool>> finished;
};

} // namespace

ClientStream::ClientStream(const net::Strand &linkStrand, core::Endpoint endpoint,
                           core::HttpRequest message, core::Duration limit,
                           core::ResponseHandler responseHandler)
    : strand(linkStrand), to(std::move(endpoint)), timeout(limit), request(std::move(message)),
      handler(std::move(responseHandler))
{ }

void ClientStream::cancel()
{
    boost::asio::post(this->strand,
                      [self = std::static_pointer_cast<ClientStream>(this->shared_from_this())] {
                          self->fail(core::ErrorKind::ConnectionLost, "the request was cancelled");
                      });
}

bool ClientStream::open(FrameSession &target)
{
    if (this->request.method.empty() || this->request.target.empty()
        || !isFieldValue(this->request.method) || !isFieldValue(this->request.target)) {
        this->fail(core::ErrorKind::Unavailable, "method or target can't be sent");
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
        this->source.put(core::BodyChunk{std::move(this->request.body), true});
    }
    return target.submitRequest(this->shared_from_this(), fields.list(), withBody);
}

void ClientStream::onField(std::string_view name, std::string_view value)
{
    if (this->headersDone)
        return; // Trailers have no place in a response here.
    if (name == ":status")
        this->response.status = parseNumber<unsigned>(value).value_or(0);
    else if (name == "content-length")
        this->response.contentLength = parseNumber<std::uint64_t>(value);
    this->response.headers.push_back(core::Header{std::string(name), std::string(value)});
}

void ClientStream::onHeadersEnd()
{
    if (this->headersDone)
        return;
    if (this->response.status < firstFinalStatus)
        this->response = {};
    else
        this->headersDone = true;
}

void ClientStream::onStreamClosed(std::uint32_t code)
{
    if (this->ended && code == NGHTTP2_NO_ERROR)
        return;
    const core::ErrorKind kind = this->sent ? kindOf(code) : core::ErrorKind::Unavailable;
    this->failure =
            core::Error{kind,
                        core::formatEndpoint(this->to) + ": the peer ended the stream early, code "
                                + std::to_string(code)};
}

void ClientStream::onSessionClosed()
{
    if (this->ended)
        return;
    this->failure =
            core::Error{this->sent ? core::ErrorKind::ConnectionLost : core::ErrorKind::Unavailable,
                        core::formatEndpoint(this->to) + ": the connection ended"};
}

void ClientStream::process()
{
    if (this->finished)
        return;
    if (this->delivered)
        return this->deliverChunk();
    if (this->headersDone && (this->ended || !this->failure))
        return this->deliverResponse();
    if (this->failure)
        this->finish(*this->failure);
}

void ClientStream::deliverResponse()
{
    this->delivered = true;
    this->stopTimer();
    std::erase_if(this->response.headers,
                  [](const core::Header &header) { return header.name.front() == ':'; });
    if (this->ended) {
        if (this->request.method != "HEAD" && !this->response.contentLength)
            this->response.contentLength = this->received.size();
        this->response.body = core::makeStringBody(std::move(this->received));
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
        return reader(this->failure.value_or(core::Error{
                core::ErrorKind::ConnectionLost, "the response was read to its end or cancelled"}));
    this->chunkHandler = std::move(reader);
    this->limitTime(true);
    this->deliverChunk();
}

void ClientStream::deliverChunk()
{
    if (!this->chunkHandler)
        return;
    const bool hasData = !this->received.empty();
    if (!hasData && !this->ended && !this->failure)
        return;
    this->stopTimer();
    const auto reader = std::exchange(this->chunkHandler, nullptr);
    if (!hasData && !this->ended) {
        this->finished = true;
        return reader(*this->failure);
    }
    if (this->session)
        this->session->consume(*this, this->received.size());
    this->finished = this->ended;
    reader(core::BodyChunk{std::exchange(this->received, {}), this->ended});
}

void ClientStream::fail(core::ErrorKind kind, const std::string &reason)
{
    if (this->finished)
        return;
    const core::Error error{this->sent ? kind : core::ErrorKind::Unavailable,
                            core::formatEndpoint(this->to) + ": " + reason};
    this->failure = error;
    if (this->session)
        this->session->resetStream(*this, NGHTTP2_CANCEL);
    const auto reader = std::exchange(this->chunkHandler, nullptr);
    this->received.clear();
    this->finish(error);
    if (reader)
        reader(error);
}

void ClientStream::finish(core::Outcome<core::HttpResponse> outcome)
{
    this->finished = true;
    this->stopTimer();
    if (const auto call = std::exchange(this->handler, nullptr))
        call(std::move(outcome));
}

void ClientStream::stopTimer()
{
    this->limitTime(false);
}

} // namespace amaranthdale::peer
