// Settings and injected faults of the backend server stand-in.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

#include <string>

namespace amaranthdale::tools {

/// Settings that are fixed for the lifetime of the process.
struct BackendSettings
{
    core::ServerName name;
    core::ServiceName service;
    bool checksFence = true;   ///< If false, runs requests with any fence, slot and lease.
    unsigned requestSlots = 4; ///< Maximum concurrent requests; further ones are shed.
    unsigned coldSlots = 1;    ///< Concurrent requests sustained just after a start.
    core::Duration warmUp = std::chrono::seconds(5);   ///< Time until all slots are sustained.
    core::Duration collapse = std::chrono::seconds(2); ///< Slowdown time after cold overload.
    core::Duration serviceTime = std::chrono::milliseconds(5);
    double jitter = 0.2;           ///< Relative variation of service times in either direction.
    std::uint64_t seed = 1;        ///< Of the jitter.
    std::size_t responseBytes = 0; ///< Minimum size of an echo response.
};

/// Injected faults, set at run time; all off by default.
struct BackendFaults
{
    std::uint64_t slowFactor = 1;   ///< Multiplies service times.
    bool shed = false;              ///< Refuses all requests without running them.
    std::string crashBody;          ///< A request whose body contains this ends the process.
    core::Duration loadLag{};       ///< Age of the load in the load report.
    std::uint64_t cutBodyAfter = 0; ///< Bytes after which blob bodies are truncated; 0 for never.
};

/// Body of `PUT /control`: persistent faults and one-time actions.
struct BackendControlRequest
{
    BackendFaults faults;
    bool turnCold = false; ///< Restarts the warm-up; the incarnation stays.
    bool restart = false;  ///< Loses grant, warm-up and running requests; new incarnation.
};

/// Updates `request` from the fields that are present; the others keep their values.
void readControlRequest(records::ObjectReader &reader, BackendControlRequest &request);

boost::json::object toJson(const BackendFaults &faults);

} // namespace amaranthdale::tools
