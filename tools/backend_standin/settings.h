// Settings and faults of the backend server stand-in.
#pragma once

#include "amaranthdale/core/types.h"
#include "amaranthdale/records/object_reader.h"

#include <boost/json/object.hpp>

#include <string>

namespace amaranthdale::tools {

/// What a backend server is, fixed for the life of the process.
struct BackendSettings
{
    core::ServerName name;
    core::ServiceName service;
    bool checksFence = true;   ///< False: runs requests under any fence, slot and lease.
    unsigned requestSlots = 4; ///< Requests that it runs at once; further ones are shed.
    unsigned coldSlots = 1;    ///< Requests that it sustains just after a start.
    core::Duration warmUp = std::chrono::seconds(5);   ///< Until all request slots are sustained.
    core::Duration collapse = std::chrono::seconds(2); ///< How long an overload while cold lasts.
    core::Duration serviceTime = std::chrono::milliseconds(5);
    double jitter = 0.2;           ///< Service times vary by this share either way.
    std::uint64_t seed = 1;        ///< Of the jitter.
    std::size_t responseBytes = 0; ///< Least length of an echo response.
};

/// Faults set at run time; all off by default.
struct BackendFaults
{
    std::uint64_t slowFactor = 1;   ///< Multiplies service times.
    bool shed = false;              ///< Refuses all requests as not run.
    std::string crashBody;          ///< A request whose body contains this ends the process.
    core::Duration loadLag{};       ///< The load report shows the load this long ago.
    std::uint64_t cutBodyAfter = 0; ///< Streams break off after so many bytes; 0: never.
};

/// A request to `PUT /control`: faults to keep and things to do once.
struct BackendControl
{
    BackendFaults faults;
    bool turnCold = false; ///< Loses warmth without notice.
    bool restart = false;  ///< Loses grant, warmth and running requests; a new incarnation.
};

/// Reads the fields that are present and keeps the others.
void readControl(records::ObjectReader &reader, BackendControl &control);

boost::json::object toJson(const BackendFaults &faults);

} // namespace amaranthdale::tools
