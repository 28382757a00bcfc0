// Worker threads, handlers and blocking calls for tests of the transports.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace amaranthdale::testing {

inline constexpr auto longWait = std::chrono::seconds(20);

/// An `io_context` with a few worker threads, joined at the end.
class Workers
{
public:
    explicit Workers(std::size_t count = 3) : guard(this->context.get_executor())
    {
        for (std::size_t i = 0; i < count; ++i)
            this->threads.emplace_back([this] { this->context.run(); });
    }

    ~Workers()
    {
        this->guard.reset();
        this->context.stop();
        for (auto &thread : this->threads)
            thread.join();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

/// Serves requests with a function.
class FunctionHandler : public core::RequestHandler
{
public:
    using Function = std::function<std::shared_ptr<core::Exchange>(core::HttpRequest,
                                                                   core::ResponseHandler)>;

    explicit FunctionHandler(Function function) : serve(std::move(function)) { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        return this->serve(std::move(request), std::move(respond));
    }

private:
    Function serve;
};

/// Sends and waits for the response header.
inline core::Outcome<core::HttpResponse> sendAndWait(core::HttpSender &sender,
                                                     const core::Endpoint &to,
                                                     core::HttpRequest request,
                                                     core::Duration timeout = longWait)
{
    auto promise = std::make_shared<std::promise<core::Outcome<core::HttpResponse>>>();
    auto future = promise->get_future();
    const auto exchange = sender.send(to, std::move(request), timeout, [promise](auto outcome) {
        promise->set_value(std::move(outcome));
    });
    if (future.wait_for(longWait) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal, "no call of the response handler"};
    return future.get();
}

/// Reads a whole body and waits for its end.
inline core::Outcome<std::string> bodyOf(const core::HttpResponse &response,
                                         std::size_t limit = 16 * 1024 * 1024)
{
    auto promise = std::make_shared<std::promise<core::Outcome<std::string>>>();
    auto future = promise->get_future();
    core::readWholeBody(response.body, limit,
                        [promise](auto text) { promise->set_value(std::move(text)); });
    if (future.wait_for(longWait) != std::future_status::ready)
        return core::Error{core::ErrorKind::Internal, "no end of the body"};
    return future.get();
}

inline const core::Endpoint anyLoopbackPort{"127.0.0.1", 0};

} // namespace amaranthdale::testing
