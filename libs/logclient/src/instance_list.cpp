// HTTP client of the instance list.
#include "amaranthdale/logclient/instance_list.h"

#include "json_exchange.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace amaranthdale::logclient {

namespace {

using records::ObjectReader;
using records::Presence;

constexpr std::string_view stateLive = "live";
constexpr std::string_view stateLeaving = "leaving";

void readInstance(ObjectReader &reader, ListedInstance &instance)
{
    reader.name("id", instance.id.name);
    reader.number("incarnation", instance.id.incarnation);
    reader.name("dataCentre", instance.dataCentre);
    reader.endpoint("peerAddress", instance.peerEndpoint);
    std::string state;
    reader.identifier("state", state);
    instance.leaving = state == stateLeaving;
    if (state != stateLive && state != stateLeaving)
        reader.addFault("state", "unknown; expected live or leaving");
}

void readInstances(ObjectReader &reader, std::vector<ListedInstance> &instances)
{
    reader.objects("instances", Presence::Required, [&instances](ObjectReader &element) {
        readInstance(element, instances.emplace_back());
    });
    reader.rejectUnknownFields();
}

std::string formatInstance(const ListedInstance &instance)
{
    const std::string_view state = instance.leaving ? stateLeaving : stateLive;
    return boost::json::serialize(
            boost::json::object{{"id", instance.id.name.value},
                                {"incarnation", instance.id.incarnation.value},
                                {"dataCentre", instance.dataCentre.value},
                                {"peerAddress", core::formatEndpoint(instance.peerEndpoint)},
                                {"state", std::string(state)}});
}

class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(core::HttpSender &httpSender, core::Endpoint to)
        : sender(httpSender), endpoint(std::move(to))
    { }

    void fetch(core::Duration timeout,
               std::function<void(core::Outcome<std::vector<ListedInstance>>)> handler) override
    {
        using Instances = std::vector<ListedInstance>;
        detail::sendJsonRequest(this->sender, this->endpoint, {"GET", "/instances", {}, {}},
                                timeout,
                                [handler = std::move(handler)](core::Outcome<std::string> body) {
                                    if (!body)
                                        return handler(body.error());
                                    handler(detail::parseJsonBody<Instances>(*body, readInstances));
                                });
    }

    void announce(const ListedInstance &instance, core::Duration timeout,
                  std::function<void(core::Outcome<core::Success>)> handler) override
    {
        this->sendUpdate("PUT", instance.id.name, formatInstance(instance), timeout,
                         std::move(handler));
    }

    void withdraw(const core::InstanceName &name, core::Duration timeout,
                  std::function<void(core::Outcome<core::Success>)> handler) override
    {
        this->sendUpdate("DELETE", name, {}, timeout, std::move(handler));
    }

private:
    void sendUpdate(std::string method, const core::InstanceName &name, std::string body,
                    core::Duration timeout,
                    std::function<void(core::Outcome<core::Success>)> handler)
    {
        core::HttpRequest request{
                std::move(method), "/instances/" + name.value, {}, std::move(body)};
        detail::sendJsonRequest(
                this->sender, this->endpoint, std::move(request), timeout,
                [handler = std::move(handler)](core::Outcome<std::string> response) {
                    if (!response)
                        return handler(response.error());
                    handler(core::Success{});
                });
    }

    core::HttpSender &sender;
    const core::Endpoint endpoint;
};

} // namespace

std::unique_ptr<InstanceList> makeInstanceList(core::HttpSender &sender, core::Endpoint endpoint)
{
    return std::make_unique<HttpInstanceList>(sender, std::move(endpoint));
}

} // namespace amaranthdale::logclient
