// JSON encoding of the injected faults.
#include "fault_proxy/proxy_faults.h"

#include "amaranthdale/records/duration.h"

namespace amaranthdale::tools {

namespace {

using records::ObjectReader;
using records::Presence;

constexpr core::Duration maxDelay = std::chrono::minutes(10);

void readFlow(ObjectReader &reader, FlowFaults &flow)
{
    reader.duration("delay", flow.delay, {}, maxDelay, Presence::Optional);
    reader.boolean("drop", flow.drop, Presence::Optional);
}

boost::json::object flowToJson(const FlowFaults &flow)
{
    return {{"delay", records::formatDuration(flow.delay)}, {"drop", flow.drop}};
}

} // namespace

void readControlRequest(ObjectReader &reader, ProxyControlRequest &request)
{
    ProxyFaults &faults = request.faults;
    readFlow(reader, faults.toTarget);
    if (reader.has("delay"))
        faults.toClient.delay = faults.toTarget.delay;
    if (reader.has("drop"))
        faults.toClient.drop = faults.toTarget.drop;
    reader.object("toTarget", Presence::Optional,
                  [&](ObjectReader &each) { readFlow(each, faults.toTarget); });
    reader.object("toClient", Presence::Optional,
                  [&](ObjectReader &each) { readFlow(each, faults.toClient); });
    reader.boolean("cut", faults.cut, Presence::Optional);
    reader.boolean("halfOpen", faults.halfOpen, Presence::Optional);
    reader.boolean("reset", request.reset, Presence::Optional);
}

boost::json::object toJson(const ProxyFaults &faults)
{
    return {{"toTarget", flowToJson(faults.toTarget)},
            {"toClient", flowToJson(faults.toClient)},
            {"cut", faults.cut},
            {"halfOpen", faults.halfOpen}};
}

} // namespace amaranthdale::tools
