// The instance list's protocol, with a list that lags behind the changes.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/logclient/instance_list.h"
#include "amaranthdale/tables/guarded.h"

#include <deque>
#include <map>

namespace amaranthdale::tools {

/// Faults of the list, set at run time by `PUT /control`.
struct ListFaults
{
    core::Duration lag{}; ///< Readers see the list as it was this long ago.
    bool down = false;    ///< Every request gets 503.
};

/// Serves `/instances`, `/instances/{id}` and `/control`.
class ListHandler : public core::RequestHandler
{
public:
    ListHandler(clock::Clock &clock, core::Duration lag);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    using Instances = std::map<core::InstanceName, logclient::ListedInstance>;

    // The list from a moment on.
    struct Version
    {
        core::TimePoint since;
        Instances instances;
    };

    struct State
    {
        ListFaults faults;
        std::deque<Version> versions; // In order of time, never empty.
    };

    core::HttpResponse respondTo(const core::HttpRequest &request);
    core::HttpResponse control(const core::HttpRequest &request);
    core::HttpResponse list();
    core::HttpResponse enter(const core::InstanceName &name, const std::string &body);
    core::HttpResponse remove(const core::InstanceName &name);

    template<class Function>
    void change(Function &&function);

    clock::Clock &clock;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
