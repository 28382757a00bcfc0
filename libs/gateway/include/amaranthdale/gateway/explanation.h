// What a gateway would do with a request now, and why.
#pragma once

#include "amaranthdale/balance/service_balancer.h"
#include "amaranthdale/keyspace/assignment.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::gateway {

/// A request that is described instead of sent.
struct RequestDescription
{
    std::string host;
    std::string path; ///< Without the query.
    std::optional<keyspace::Key> key;
    std::optional<core::OrganisationName> organisation;
    std::optional<core::DataCentreName> dataCentre; ///< Of the instance; unset: this one's.
    std::optional<core::Duration> timeout;          ///< Of the caller.
};

/// The owner of the described key.
struct ExplainedOwner
{
    keyspace::OwnedRange range;
    bool usable = false; ///< May get requests now.
};

/// Why a request would not be routed at all.
enum class ExplanationError {
    None,
    NoConfiguration,
    NoRoute,
    UnknownOrganisation,
};

/// The path of a request through the decisions of this instance.
struct Explanation
{
    ExplanationError error = ExplanationError::None;
    std::uint64_t configurationVersion = 0;
    std::optional<core::Duration> configurationAge; ///< Unset: never confirmed.
    std::string route;
    catalog::RequestKind kind = catalog::RequestKind::Idempotent;
    bool isPublic = false;
    unsigned priority = 0;
    core::Duration timeLeft{};
    std::vector<catalog::TrafficShare> shares;
    core::ServiceName service; ///< The next request of the route goes to it.
    bool keyed = false;
    std::optional<ExplainedOwner> owner;
    std::uint64_t assignmentLogEnd = 0; ///< Of the assignment that names the owner.
    /// Another instance may grant a slot of a different server; this is what is decided without it.
    std::optional<balance::BalancerExplanation> choice;
    /// Set if the request would be refused before a server is chosen.
    std::optional<balance::Refuse> refusal;
};

} // namespace amaranthdale::gateway
