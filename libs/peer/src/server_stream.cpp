// Receives a request from a peer and streams the response.
#include "server_stream.h"

#include "fields.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace amaranthdale::peer {

namespace {

constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;
constexpr unsigned internalError = 500;
constexpr unsigned unavailable = 503;

core::HttpResponse errorResponse(const core::Error &error)
{
    const bool notRun =
            error.kind == core::ErrorKind::Unavailable || error.kind == core::ErrorKind::Overloaded;
    auto response =
            core::makeResponse(notRun ? unavailable : internalError, error.message, "text/plain");
    core::setHeader(response.headers, "amd-outcome", notRun ? "notRun" : "unknown");
    return response;
}

} // namespace

void ServerStream::onField(std::string_view name, std::string_view value)
{
    if (this->headersComplete)
        return; // Trailers are ignored.
    if (name == ":method")
        this->request.method = value;
    else if (name == ":path")
        this->request.target = value;
    else if (name == ":authority")
        this->request.headers.push_back(core::Header{"host", std::string(value)});
    else if (!name.starts_with(':'))
        this->request.headers.push_back(core::Header{std::string(name), std::string(value)});
}

void ServerStream::onData(std::string_view data)
{
    if (this->request.body.size() + data.size() > this->shared->limits.maxRequestBodyBytes) {
        this->bodyTooLarge = true;
        return;
    }
    this->request.body.append(data);
    if (this->session)
        this->session->consume(*this, data.size());
}

void ServerStream::process()
{
    if (this->closed)
        return this->cancelRequest();
    if (this->bodyTooLarge && !this->handled) {
        this->handled = true;
        if (this->session)
            this->session->resetStream(*this, NGHTTP2_ENHANCE_YOUR_CALM);
        return;
    }
    if (this->requestComplete && !this->handled)
        return this->handleRequest();
    if (this->responseBody && this->bodySource.needsChunk())
        this->readChunk();
}

void ServerStream::handleRequest()
{
    this->handled = true;
    this->isHead = this->request.method == "HEAD";
    const bool accepted = this->shared->gate.handle(
            std::move(this->request),
            [stream = this->self()](core::Outcome<core::HttpResponse> outcome) {
                boost::asio::post(stream->strand, [stream, outcome = std::move(outcome)]() mutable {
                    stream->onResponse(std::move(outcome));
                });
            },
            this->exchange);
    if (!accepted && this->session)
        this->session->resetStream(*this, NGHTTP2_REFUSED_STREAM);
}

void ServerStream::onResponse(core::Outcome<core::HttpResponse> outcome)
{
    this->exchange.reset();
    if (!this->session)
        return;
    core::HttpResponse response = outcome ? std::move(*outcome) : errorResponse(outcome.error());
    const bool withBody =
            !this->isHead && response.status != noContent && response.status != notModified;
    this->sendHeader(response, withBody);
    if (!withBody)
        return;
    this->bodySource.setContentLength(response.contentLength);
    this->responseBody = std::move(response.body);
    this->readChunk();
}

void ServerStream::sendHeader(const core::HttpResponse &response, bool withBody)
{
    FieldList fields;
    fields.add(":status", std::to_string(response.status));
    if (response.contentLength && response.status != noContent)
        fields.add("content-length", std::to_string(*response.contentLength));
    fields.addAll(response.headers);
    this->session->submitResponse(*this, fields.entries(), withBody);
}

void ServerStream::readChunk()
{
    if (std::exchange(this->readPending, true))
        return;
    const auto reader = this->responseBody;
    reader->read([stream = this->self()](core::Outcome<core::BodyChunk> chunk) {
        boost::asio::dispatch(stream->strand, [stream, chunk = std::move(chunk)]() mutable {
            stream->onChunk(std::move(chunk));
        });
    });
}

void ServerStream::onChunk(core::Outcome<core::BodyChunk> chunk)
{
    this->readPending = false;
    if (!this->session)
        return this->responseBody.reset();
    const bool last = chunk && chunk->last;
    if (!chunk || !this->bodySource.setChunk(std::move(*chunk))) {
        this->responseBody.reset();
        return this->session->resetStream(*this, NGHTTP2_INTERNAL_ERROR);
    }
    if (last)
        this->responseBody.reset();
    this->session->resumeBody(*this);
}

void ServerStream::cancelRequest()
{
    this->responseBody.reset();
    if (const auto pending = std::exchange(this->exchange, nullptr))
        pending->cancel();
}

std::shared_ptr<ServerStream> ServerStream::self()
{
    return std::static_pointer_cast<ServerStream>(this->shared_from_this());
}

} // namespace amaranthdale::peer
