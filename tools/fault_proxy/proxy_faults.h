// Faults of the proxy, set at run time.
#pragma once

#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

namespace amaranthdale::tools {

/// Faults of the bytes that flow one way.
struct FlowFaults
{
    core::Duration delay{};
    bool drop = false; ///< Bytes are held back, as in a partition; they flow when it ends.
};

struct ProxyFaults
{
    FlowFaults toTarget;
    FlowFaults toClient;
    bool cut = false;      ///< Connections are closed, and new ones at once.
    bool halfOpen = false; ///< The end of one side is not passed on to the other.
};

/// A request to `PUT /control`: faults to keep and things to do once.
struct ProxyControl
{
    ProxyFaults faults;
    bool reset = false; ///< Resets all present connections.
};

/// Reads the fields that are present and keeps the others. `delay` and `drop` apply to both ways.
void readControl(records::ObjectReader &reader, ProxyControl &control);

boost::json::object toJson(const ProxyFaults &faults);

} // namespace amaranthdale::tools
