// Reads what routing needs out of a caller's request, and finds the server that may run it.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthdale::decisions {

/// A caller's request with all that its service's document says about it.
struct RoutedRequest
{
    RequestInfo info;
    std::optional<std::string> key; ///< What the owner is looked up by.
    bool ownerOnly = false;         ///< False: any server of the service may answer.
};

/// Name of the service that a target such as "/stockroom/items/7" addresses. Fails with
/// InvalidArgument when the target has no such form.
core::Result<core::ServiceName> serviceOf(std::string_view target);

/// Reads the request by the document of its service. `replayed` is the newest offset that this
/// instance has replayed; it goes into ids that are made here. Fails with InvalidArgument when the
/// key is missing, or a header has a wrong form; the message names the header.
core::Result<RoutedRequest> routeRequest(const ServiceState &service,
                                         const core::HttpRequest &request, core::LogOffset replayed,
                                         RandomSource &random, core::TimePoint now);

/// Gives a request whose id was made by this instance an id of the newest offset `replayed`, and
/// the route that follows from it. Only for a request that certainly has not run under its present
/// id. False, and nothing changed, when the id came from the caller or is not older than
/// `replayed`.
bool renewId(const ServiceState &service, RoutedRequest &routed, core::LogOffset replayed,
             RandomSource &random);

/// Owner of the request's key; nothing when its slot has no owner.
std::optional<core::ServerName> ownerFor(const ServiceState &service, const RoutedRequest &request);

} // namespace amaranthdale::decisions
