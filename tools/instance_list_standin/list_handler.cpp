// HTTP handler of the instance list stand-in.
#include "instance_list_standin/list_handler.h"

#include "amaranthdale/records/duration.h"
#include "common/http_target.h"
#include "common/replies.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

using logclient::ListedInstance;
using records::ObjectReader;
using records::Presence;

constexpr core::Duration maxLag = std::chrono::hours(1);

boost::json::object toJson(const ListedInstance &instance)
{
    return {{"id", instance.id.name.value},
            {"incarnation", instance.id.incarnation.value},
            {"dataCentre", instance.dataCentre.value},
            {"peerAddress", core::formatEndpoint(instance.peerEndpoint)},
            {"state", instance.leaving ? "leaving" : "live"}};
}

void readInstance(ObjectReader &reader, ListedInstance &instance)
{
    reader.name("id", instance.id.name);
    reader.number("incarnation", instance.id.incarnation);
    reader.name("dataCentre", instance.dataCentre);
    reader.endpoint("peerAddress", instance.peerEndpoint);
    std::string text;
    reader.identifier("state", text);
    instance.leaving = text == "leaving";
    if (text != "leaving" && text != "live")
        reader.addFault("state", "unknown state; use live or leaving");
}

} // namespace

ListHandler::ListHandler(clock::Clock &timeSource, core::Duration lag)
    : clock(timeSource),
      state(tables::LockRank::Membership, State{{lag, false}, {Version{core::TimePoint(), {}}}})
{ }

std::shared_ptr<core::Exchange> ListHandler::handle(core::HttpRequest request,
                                                    core::ResponseHandler respond)
{
    respond(this->route(request));
    return nullptr;
}

core::HttpResponse ListHandler::route(const core::HttpRequest &request)
{
    const std::vector<std::string> segments = parseTarget(request.target).segments;
    if (segments == std::vector<std::string>{"control"})
        return this->control(request);
    if (segments.empty() || segments.front() != "instances" || segments.size() > 2)
        return replyError(statusNotFound, "no such resource; see /instances");
    if (this->state.with([](State &shared) { return shared.faults.down; }))
        return replyError(statusUnavailable, "the instance list is unavailable; retry later");
    if (request.method == "GET" && segments.size() == 1)
        return this->listInstances();
    if (request.method == "PUT" && segments.size() == 2)
        return this->putInstance(core::InstanceName(segments[1]), request.body);
    if (request.method == "DELETE" && segments.size() == 2)
        return this->removeInstance(core::InstanceName(segments[1]));
    return replyError(statusNotFound, "no such operation; see GET /instances");
}

core::HttpResponse ListHandler::control(const core::HttpRequest &request)
{
    ListFaults faults = this->state.with([](State &shared) { return shared.faults; });
    if (request.method == "PUT") {
        auto fault = readJsonBody(request.body, [&faults](ObjectReader &reader) {
            reader.duration("lag", faults.lag, {}, maxLag, Presence::Optional);
            reader.boolean("down", faults.down, Presence::Optional);
        });
        if (fault)
            return std::move(*fault);
        this->state.with([&faults](State &shared) { shared.faults = faults; });
    }
    return replyJson(statusOk,
                     {{"lag", records::formatDuration(faults.lag)}, {"down", faults.down}});
}

core::HttpResponse ListHandler::listInstances()
{
    const Instances visible = this->state.with([now = this->clock.now()](State &shared) {
        const core::TimePoint visibleAt = now - shared.faults.lag;
        const auto version =
                std::find_if(shared.versions.rbegin(), shared.versions.rend(),
                             [visibleAt](const Version &each) { return each.since <= visibleAt; });
        return version == shared.versions.rend() ? shared.versions.front().instances
                                                 : version->instances;
    });
    boost::json::array instances;
    for (const auto &[name, instance] : visible)
        instances.push_back(toJson(instance));
    return replyJson(statusOk, {{"instances", std::move(instances)}});
}

core::HttpResponse ListHandler::putInstance(const core::InstanceName &name, const std::string &body)
{
    ListedInstance instance;
    auto fault = readJsonBody(body, [&](ObjectReader &reader) {
        readInstance(reader, instance);
        if (instance.id.name != name)
            reader.addFault("id", "does not match the name in the path");
    });
    if (fault)
        return std::move(*fault);
    this->applyChange([&](Instances &instances) { instances[name] = instance; });
    return replyJson(statusOk, {});
}

core::HttpResponse ListHandler::removeInstance(const core::InstanceName &name)
{
    this->applyChange([&](Instances &instances) { instances.erase(name); });
    return replyJson(statusOk, {});
}

template<class Function>
void ListHandler::applyChange(Function &&function)
{
    const core::TimePoint now = this->clock.now();
    this->state.with([&](State &shared) {
        Version version{now, shared.versions.back().instances};
        function(version.instances);
        shared.versions.push_back(std::move(version));
        // Drops the versions that readers no longer see; the first one kept is visible now.
        while (shared.versions.size() > 1 && shared.versions[1].since <= now - shared.faults.lag)
            shared.versions.pop_front();
    });
}

} // namespace amaranthdale::tools
