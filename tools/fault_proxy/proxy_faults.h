// Faults injected by the proxy, set at run time.
#pragma once

#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::tools {

/// Faults of one direction.
struct FlowFaults
{
    core::Duration delay{};
    bool drop = false; ///< Holds bytes back, as in a partition; forwards them once cleared.
};

struct ProxyFaults
{
    FlowFaults toTarget;
    FlowFaults toClient;
    bool cut = false;      ///< Closes all connections, and new ones as soon as they open.
    bool halfOpen = false; ///< A close by one side is not forwarded to the other.
};

/// Body of `PUT /control`: persistent faults and one-time actions.
struct ProxyControlRequest
{
    ProxyFaults faults;
    bool reset = false; ///< Resets all open connections.
};

/// Updates `request` from the fields that are present; the others keep their values. `delay` and
/// `drop` at the top level apply to both directions.
void readControlRequest(records::ObjectReader &reader, ProxyControlRequest &request);

boost::json::object toJson(const ProxyFaults &faults);

} // namespace amaranthdale::tools
