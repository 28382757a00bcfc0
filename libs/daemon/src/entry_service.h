// HTTP handler of the caller port: validates requests, resolves their service and starts them.
#pragma once

#include "caller_request.h"

namespace amaranthdale::daemon {

/// Handles requests from callers. `GET /-/request-id?count=N` issues request ids; all other
/// requests are routed to services.
class EntryService : public core::RequestHandler
{
public:
    explicit EntryService(EntryContext entryContext) : context(entryContext) { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    core::HttpResponse issueIds(const core::HttpRequest &request);
    void refuseUnrouted(const core::HttpRequest &request, const core::Error &error,
                        const core::ResponseHandler &respond);

    EntryContext context;
};

} // namespace amaranthdale::daemon
