// JSON form of the faults.
#include "fault_proxy/proxy_faults.h"

#include "amaranthdale/records/duration.h"

namespace amaranthdale::tools {

namespace {

using records::ObjectReader;
using records::Presence;

constexpr core::Duration longestDelay = std::chrono::minutes(10);

void readFlow(ObjectReader &reader, FlowFaults &flow)
{
    reader.duration("delay", flow.delay, {}, longestDelay, Presence::Optional);
    reader.flag("drop", flow.drop, Presence::Optional);
}

boost::json::object flowToJson(const FlowFaults &flow)
{
    return {{"delay", records::formatDuration(flow.delay)}, {"drop", flow.drop}};
}

} // namespace

void readControl(ObjectReader &reader, ProxyControl &control)
{
    ProxyFaults &faults = control.faults;
    readFlow(reader, faults.toTarget);
    if (reader.has("delay"))
        faults.toClient.delay = faults.toTarget.delay;
    if (reader.has("drop"))
        faults.toClient.drop = faults.toTarget.drop;
    reader.object("toTarget", Presence::Optional,
                  [&](ObjectReader &each) { readFlow(each, faults.toTarget); });
    reader.object("toClient", Presence::Optional,
                  [&](ObjectReader &each) { readFlow(each, faults.toClient); });
    reader.flag("cut", faults.cut, Presence::Optional);
    reader.flag("halfOpen", faults.halfOpen, Presence::Optional);
    reader.flag("reset", control.reset, Presence::Optional);
}

boost::json::object toJson(const ProxyFaults &faults)
{
    return {{"toTarget", flowToJson(faults.toTarget)},
            {"toClient", flowToJson(faults.toClient)},
            {"cut", faults.cut},
            {"halfOpen", faults.halfOpen}};
}

} // namespace amaranthdale::tools
