// The backend server's protocol.
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

/// Serves grants, load, cancellation, health and drain under `/-/`, faults under `/control`, and
/// any other target as a request to run. Must outlive the clock's timers.
class BackendHandler : public core::RequestHandler
{
public:
    /// `crash` is called by a request with the crash body; production ends the process in it.
    BackendHandler(BackendSettings settings, clock::Clock &clock, history::EventSink &sink,
                   std::function<void()> crash);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    // What the system's own resources are asked.
    core::HttpResponse handleOwn(const core::HttpRequest &request, const HttpTarget &target);
    core::HttpResponse control(const core::HttpRequest &request);
    core::HttpResponse takeGrant(const core::HttpRequest &request);
    core::HttpResponse cancelRequest(const core::RequestId &id);
    core::HttpResponse health();
    core::HttpResponse drain();
    core::HttpResponse report(unsigned status);

    void runRequest(const core::HttpRequest &request, const core::ResponseHandler &respond);
    void finish(std::uint64_t number, core::HttpResponse response);
    void restart();
    core::HttpResponse responseOf(const core::HttpRequest &request) const;
    history::WallTime wallNow() const;
    boost::json::object reportOf(const BackendState &held) const;

    const BackendSettings settings;
    clock::Clock &clock;
    history::EventSink &sink;
    const std::function<void()> crash;
    mutable tables::Guarded<BackendState> state;
};

} // namespace amaranthdale::tools
