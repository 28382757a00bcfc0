// HTTP handler of the instance list stand-in. Readers see changes after a configurable lag.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/logclient/instance_list.h"
#include "amaranthdale/tables/guarded.h"

#include <deque>
#include <map>

namespace amaranthdale::tools {

/// Injected faults, set at run time by `PUT /control`.
struct ListFaults
{
    core::Duration lag{}; ///< Delay until readers see a change.
    bool down = false;    ///< Requests for instances get 503.
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

    // Contents of the list from `since` until the next version.
    struct Version
    {
        core::TimePoint since;
        Instances instances;
    };

    struct State
    {
        ListFaults faults;
        std::deque<Version> versions; // Ordered by time; never empty.
    };

    core::HttpResponse route(const core::HttpRequest &request);
    core::HttpResponse control(const core::HttpRequest &request);
    core::HttpResponse listInstances();
    core::HttpResponse putInstance(const core::InstanceName &name, const std::string &body);
    core::HttpResponse removeInstance(const core::InstanceName &name);

    template<class Function>
    void applyChange(Function &&function);

    clock::Clock &clock;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
