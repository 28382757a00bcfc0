// HTTP handler of the backend server stand-in.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/history/history_file.h"
#include "amaranthdale/tables/guarded.h"
#include "backend_standin/backend_state.h"
#include "common/http_target.h"

#include <functional>
#include <vector>

namespace amaranthdale::tools {

/// Serves grants, load, cancellation, health and drain under `/-/` and faults under `/control`;
/// runs a request to any other target. Must outlive the clock's timers.
class BackendHandler : public core::RequestHandler
{
public:
    /// `crash` is called when a request contains the crash body; the program ends its process
    /// there.
    BackendHandler(BackendSettings settings, clock::Clock &clock, history::EventSink &sink,
                   std::function<void()> crash);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    // Administrative requests.
    core::HttpResponse handleAdminRequest(const core::HttpRequest &request,
                                          const HttpTarget &target);
    core::HttpResponse control(const core::HttpRequest &request);
    core::HttpResponse applyGrant(const core::HttpRequest &request);
    core::HttpResponse cancelRequest(const core::RequestId &id);
    core::HttpResponse health();
    core::HttpResponse drain();
    core::HttpResponse report(unsigned status);

    void runRequest(const core::HttpRequest &request, const core::ResponseHandler &respond);
    void finish(std::uint64_t number, core::HttpResponse response);
    void restart();
    core::HttpResponse makeResponse(const core::HttpRequest &request) const;
    history::WallTime wallNow() const;
    boost::json::object loadReport(const BackendState &shared) const;

    const BackendSettings settings;
    clock::Clock &clock;
    history::EventSink &sink;
    const std::function<void()> crash;
    mutable tables::Guarded<BackendState> state;
};

} // namespace amaranthdale::tools
