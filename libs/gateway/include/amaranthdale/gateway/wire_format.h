// Interface of the front ends: encoding of requests and responses for callers and backend servers.
#pragma once

#include "amaranthdale/balance/server_load.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/keyspace/assignment.h"

#include <optional>
#include <string>

namespace amaranthdale::gateway {

/// Decoded request of a caller.
struct CallerRequest
{
    core::RequestId id;
    std::string host;
    std::string path;                      ///< Without the query.
    std::optional<core::Duration> timeout; ///< Timeout of the caller.
    std::optional<keyspace::Key> key;
    /// Key of an organisation, as received; unset if there is none or more than one. Cleared when
    /// the caller has been identified.
    std::optional<std::string> credential;
    core::HttpRequest message; ///< As received.
};

/// Classification of a backend server's response.
enum class ResponseClass {
    Answered, ///< Success with the body for the request.
    Failed,   ///< The server ran the request and failed, or returned an error of its own.
    Shed,     ///< Not run: the server is full or draining.
    NotOwner, ///< Not run: the server doesn't own the key, or isn't the one that was addressed.
    Invalid,  ///< Not a valid response of the protocol; the request may or may not have run.
};

struct ServerResponse
{
    ResponseClass responseClass = ResponseClass::Invalid;
    std::optional<balance::LoadReport> load;
    bool identified = true;              ///< Names the request that it responds to.
    bool serverLeaving = false;          ///< The server is shutting down.
    std::optional<core::Duration> pause; ///< The server wants no requests for this long.
};

/// Encodes and decodes requests and responses. Thread-safe.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    /// Decodes a caller's request. Fails with InvalidArgument.
    virtual core::Outcome<CallerRequest> decodeRequest(core::HttpRequest request) const = 0;

    /// Makes the message name `organisation`, or none, whatever the caller sent, and removes the
    /// caller's key from it. Called once, if the configuration has organisations.
    virtual void setOrganisation(
            CallerRequest &request,
            const std::optional<core::OrganisationName> &organisation) const = 0;

    /// Encodes a request for a backend server. `left` is the time that the server may take.
    virtual core::HttpRequest encodeForServer(const CallerRequest &request,
                                              const core::ServerName &server,
                                              core::Duration left) const = 0;

    /// Classifies a response by its status and headers.
    virtual ServerResponse classifyResponse(const core::HttpResponse &response) const = 0;
};

} // namespace amaranthdale::gateway
