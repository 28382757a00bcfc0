// Fakes of the interfaces that the daemon depends on, for tests without sockets.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/logclient/log_service.h"
#include "forward.h"
#include "server_runner.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::daemon::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Counts cancellations.
class CountingExchange : public core::Exchange
{
public:
    void cancel() override { ++this->cancelCount; }

    int cancelCount = 0;
};

/// Records sent requests, which the test responds to.
class FakeSender : public core::HttpSender
{
public:
    struct Sent
    {
        core::Endpoint to;
        core::HttpRequest request;
        core::Duration timeout{};
        core::ResponseHandler respond;
        std::shared_ptr<CountingExchange> exchange;
    };

    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration timeout,
                                         core::ResponseHandler handler) override
    {
        auto exchange = std::make_shared<CountingExchange>();
        this->sent.push_back({to, std::move(request), timeout, std::move(handler), exchange});
        return exchange;
    }

    /// Number of requests with the given method.
    std::size_t count(std::string_view method) const
    {
        std::size_t found = 0;
        for (const Sent &each : this->sent)
            found += each.request.method == method ? 1U : 0U;
        return found;
    }

    std::deque<Sent> sent;
};

/// Body whose chunks the test delivers one by one.
class ManualBody : public core::BodyReader
{
public:
    using Handler = std::function<void(core::Outcome<core::BodyChunk>)>;

    void read(Handler handler) override { this->waiting = std::move(handler); }

    void deliver(core::Outcome<core::BodyChunk> chunk)
    {
        auto handler = std::exchange(this->waiting, nullptr);
        handler(std::move(chunk));
    }

    Handler waiting;
};

/// Allows requests until the test revokes authority.
class FakeGate : public SendGate
{
public:
    std::optional<core::Fence> fenceForServer(const core::ServerName &) const override
    {
        return this->granted ? std::optional(core::Fence{core::Epoch(5), 2}) : std::nullopt;
    }
    std::optional<core::Fence> fenceForRequest(const ForwardRequest &request) const override
    {
        ++this->queryCount;
        if (this->refuseFromQuery && this->queryCount >= this->refuseFromQuery)
            return std::nullopt;
        return this->fenceForServer(request.server);
    }

    bool granted = true;
    int refuseFromQuery = 0; // Number of the first query that is refused; 0 means none.
    mutable int queryCount = 0;
};

/// Records forwarded requests, which the test completes.
class FakeForwarder : public Forwarder
{
public:
    struct Forwarded
    {
        ForwardRequest request;
        ForwardHandler handler;
        std::shared_ptr<CountingExchange> exchange;
    };

    std::shared_ptr<core::Exchange> forward(ForwardRequest request, ForwardHandler handler) override
    {
        auto exchange = std::make_shared<CountingExchange>();
        this->forwarded.push_back({std::move(request), std::move(handler), exchange});
        if (this->onForward)
            this->onForward();
        return exchange;
    }

    std::deque<Forwarded> forwarded;
    std::function<void()> onForward; // Called from `forward`.
};

/// Log whose reads and appends stay pending until the test responds to them.
class FakeLog : public logclient::LogService
{
public:
    struct Read
    {
        core::LogOffset from;
        std::function<void(core::Outcome<logclient::LogPage>)> respond;
    };
    struct Append
    {
        std::string body;
        std::function<void(core::Outcome<core::LogOffset>)> respond;
    };

    void append(std::string body, core::Duration,
                std::function<void(core::Outcome<core::LogOffset>)> handler) override
    {
        this->appends.push_back({std::move(body), std::move(handler)});
    }
    void read(core::LogOffset from, std::size_t, core::Duration, core::Duration,
              std::function<void(core::Outcome<logclient::LogPage>)> handler) override
    {
        this->reads.push_back({from, std::move(handler)});
    }

    std::deque<Read> reads;
    std::deque<Append> appends;
};

inline std::string bodyOf(const core::HttpResponse &response)
{
    std::string text;
    core::readWholeBody(response.body, 1 << 20, [&](core::Outcome<std::string> whole) {
        text = whole ? *whole : "error: " + whole.error().message;
    });
    return text;
}

inline core::HttpResponse notRun(unsigned status)
{
    core::HttpResponse response = core::makeResponse(status, "");
    response.headers.push_back({"X-Not-Run", "true"});
    return response;
}

} // namespace amaranthdale::daemon::test
