// How callers and backend servers spell requests and responses: implemented by each front end.
#pragma once

#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/keyspace/assignment.h"

#include <optional>
#include <string>

namespace amaranthdale::gateway {

/// A request of a caller, decoded.
struct CallerRequest
{
    core::RequestId id;
    std::string host;
    std::string path;                       ///< Without query.
    std::optional<core::Duration> patience; ///< How long the caller waits.
    std::optional<keyspace::Key> key;
    core::HttpRequest message; ///< As received.
};

/// What a backend server's response says about the request.
enum class ServerVerdict {
    Answered,   ///< A success with a body that belongs to the request.
    Failed,     ///< The server ran the request and failed it, or answered with an error of its own.
    Shed,       ///< Not run: the server has no room, or is leaving.
    NotOwner,   ///< Not run: the server doesn't own the key, or isn't the one that was meant.
    Unreliable, ///< Not a response of the protocol; whether the request ran is open.
};

struct ServerResponse
{
    ServerVerdict verdict = ServerVerdict::Unreliable;
    std::optional<balance::LoadReport> load;
};

/// Spelling of requests and responses. Thread-safe.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    /// Decodes a caller's request. Fails with InvalidArgument.
    virtual core::Outcome<CallerRequest> readRequest(core::HttpRequest request) const = 0;

    /// The message for a backend server; `left` is the time that the server may take.
    virtual core::HttpRequest forServer(const CallerRequest &request,
                                        const core::ServerName &server,
                                        core::Duration left) const = 0;

    /// Classifies a response by its status and headers.
    virtual ServerResponse readResponse(const core::HttpResponse &response) const = 0;
};

} // namespace amaranthdale::gateway
