// The callers' port: reads requests, finds their service and starts them on their way.
#pragma once

#include "caller_request.h"

namespace amaranthdale::daemon {

/// Serves callers. `GET /-/request-id?count=N` gives out request ids; all else goes to services.
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
