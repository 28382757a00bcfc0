// Worker threads, handlers and blocking calls for tests of the transports.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace amaranthdale::testing {

inline constexpr auto waitTimeout = std::chrono::seconds(20);

/// An `io_context` that runs on a few worker threads, which the destructor joins.
class Workers
{
public:
    explicit Workers(std::size_t count = 3) : workGuard(this->context.get_executor())
    {
        for (std::size_t i = 0; i < count; ++i)
            this->threads.emplace_back([this] { this->context.run(); });
    }

    ~Workers() { this->join(); }

    /// Stops and joins the threads. No handler runs afterwards, so objects that handlers refer to
    /// may be destroyed.
    void join()
    {
        this->workGuard.reset();
        this->context.stop();
        for (auto &thread : this->threads)
            thread.join();
        this->threads.clear();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    std::vector<std::thread> threads;
};

/// Request handler that calls a function.
class FunctionHandler : public core::RequestHandler
{
public:
    using Function = std::function<std::shared_ptr<core::Exchange>(core::HttpRequest,
                                                                   core::ResponseHandler)>;

    explicit FunctionHandler(Function function) : handler(std::move(function)) { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        return this->handler(std::move(request), std::move(respond));
    }

private:
    Function handler;
};

/// Sends a request and waits for the response header.
inline core::Outcome<core::HttpResponse> sendAndWait(core::HttpSender &sender,
                                                     const core::Endpoint &to,
                                                     core::HttpRequest request,
                                                     core::Duration timeout = waitTimeout)
{
    auto promise = std::make_shared<std::promise<core::Outcome<core::HttpResponse>>>();
    auto future = promise->get_future();
    const auto exchange = sender.send(to, std::move(request), timeout, [promise](auto outcome) {
        promise->set_value(std::move(outcome));
    });
    if (future.wait_for(waitTimeout) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal,
                           "the response handler was not called in time"};
    return future.get();
}

/// Reads a whole body, and waits until it ends.
inline core::Outcome<std::string> readBody(const core::HttpResponse &response,
                                           std::size_t limit = 16 * 1024 * 1024)
{
    auto promise = std::make_shared<std::promise<core::Outcome<std::string>>>();
    auto future = promise->get_future();
    core::readWholeBody(response.body, limit,
                        [promise](auto text) { promise->set_value(std::move(text)); });
    if (future.wait_for(waitTimeout) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal, "the body did not end in time"};
    return future.get();
}

/// An exchange that lets a test wait for its cancellation.
class CancellationProbe : public core::Exchange
{
public:
    void cancel() override
    {
        if (!this->done.exchange(true))
            this->promise.set_value();
    }

    bool wait()
    {
        return this->promise.get_future().wait_for(waitTimeout) == std::future_status::ready;
    }

private:
    std::atomic<bool> done{false};
    std::promise<void> promise;
};

/// Generates a body of `totalBytes` bytes in chunks; each byte depends on its position.
class PatternBody : public core::BodyReader
{
public:
    PatternBody(std::uint64_t totalBytes, std::size_t chunkSize)
        : total(totalBytes), chunkBytes(chunkSize)
    { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        const std::uint64_t left = this->total - this->produced;
        const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(left, this->chunkBytes));
        core::BodyChunk chunk;
        chunk.data.resize(size);
        for (char &byte : chunk.data)
            byte = byteAt(this->produced++);
        chunk.last = this->produced == this->total;
        handler(std::move(chunk));
    }

    static char byteAt(std::uint64_t position)
    {
        constexpr std::uint64_t prime = 251;
        return static_cast<char>(position % prime);
    }

    std::atomic<std::uint64_t> produced{0};

private:
    const std::uint64_t total;
    const std::size_t chunkBytes;
};

/// A body that fails with ConnectionLost after `beginning`.
class FailingBody : public core::BodyReader
{
public:
    explicit FailingBody(std::string beginning) : text(std::move(beginning)) { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (this->text.empty())
            return handler(core::Error{core::ErrorKind::ConnectionLost, "source lost"});
        handler(core::BodyChunk{std::exchange(this->text, {}), false});
    }

private:
    std::string text;
};

/// Reads one chunk, and waits for it.
inline core::Outcome<core::BodyChunk> readChunk(core::BodyReader &body)
{
    auto promise = std::make_shared<std::promise<core::Outcome<core::BodyChunk>>>();
    auto future = promise->get_future();
    body.read([promise](auto chunk) { promise->set_value(std::move(chunk)); });
    if (future.wait_for(waitTimeout) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal, "the chunk handler was not called in time"};
    return future.get();
}

inline const core::Endpoint anyLoopbackPort{"127.0.0.1", 0};

} // namespace amaranthdale::testing
