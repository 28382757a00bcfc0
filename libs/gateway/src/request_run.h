// One request of a caller, from its arrival to its final answer.
#pragma once

#include "amaranthdale/gateway/gateway.h"

#include <atomic>
#include <mutex>

namespace amaranthdale::gateway {

/// Sends a request to backend servers, at most one at a time, until it is answered, refused or
/// given up. Callbacks may come from any thread; the lock is a leaf.
class RequestRun : public core::Exchange, public std::enable_shared_from_this<RequestRun>
{
public:
    RequestRun(Gateway &owner, core::ResponseHandler responseHandler);

    static std::shared_ptr<core::Exchange> begin(Gateway &owner, core::HttpRequest message,
                                                 core::ResponseHandler respond);

    /// The caller went away.
    void cancel() override;

private:
    void start(core::HttpRequest message);
    void attempt();
    void decideAlone();
    void askAdvisor(const std::optional<core::ServerName> &server);
    void onAdvice(unsigned number, balance::Ticket ticket,
                  const std::optional<core::ServerName> &server,
                  std::optional<balance::SlotDecision> advice);
    void takeSlot(const core::ServerName &server);
    std::optional<core::ServerName> pickServer();
    void returnSlot(balance::AttemptResult result, core::Duration elapsed);
    void send(const catalog::BackendServer &server);
    void wait(core::TimePoint until);
    void onResponse(unsigned number, core::Outcome<core::HttpResponse> outcome);
    void onTransportError(const core::Error &error);
    void readBody(core::HttpResponse response);
    void onBody(core::HttpResponse response, core::Outcome<std::string> body);
    void onServerFailure(core::HttpResponse response);
    void repeatLater();
    bool mayRepeat(bool ran);
    void repeatOrRefuse(const char *reason);
    void endAttempt(balance::AttemptResult result);
    void passOn(core::HttpResponse response);
    void refuse(core::Duration retryAfter, const std::string &reason);
    void fail(unsigned status, const std::string &reason);
    void finish(core::HttpResponse response, const char *outcome, const std::string &reason);
    bool isOver();
    core::Duration left() const;

    Gateway &gateway;
    core::ResponseHandler respond;
    CallerRequest request;
    std::shared_ptr<const catalog::RouteTable> table; ///< Keeps `route` alive.
    const catalog::Route *route = nullptr;
    core::ServiceName service;
    balance::Demand demand;
    core::TimePoint sentAt{};
    core::ServerName server;         ///< Of the attempt in progress.
    core::ServerName lastServer;     ///< Of the attempt that ended last.
    unsigned attempts = 0;           ///< Attempts that may have run.
    unsigned sends = 0;              ///< Attempts that may have reached a server.
    std::atomic<unsigned> number{0}; ///< Of the attempt in progress; tells late callbacks.
    core::TimePoint ownerWaitEnd{};
    bool keyedService = false; ///< Each server holds keys of its own.
    unsigned picks = 0;        ///< Servers chosen for a request without a key to a keyed service.
    std::optional<balance::LoadReport> report; ///< Of the attempt in progress.
    bool ownerRefused = false;                 ///< The owner said that it doesn't hold the key.

    std::mutex mutex;
    bool over = false;
    std::shared_ptr<core::Exchange> exchange; ///< Guarded by mutex.
    std::optional<balance::Ticket> slot;      ///< Asked for or held; guarded by mutex.
};

} // namespace amaranthdale::gateway
