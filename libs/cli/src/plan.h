// Difference between a service document and the one in force.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"

#include <string>
#include <vector>

namespace amaranthdale::cli {

/// A server that has to give up its slots under the planned document.
struct LosingServer
{
    core::ServerName server;
    std::uint64_t slots = 0;
    std::uint64_t hotKeys = 0;
};

/// Difference between the document in force and a planned one.
struct Plan
{
    core::LogOffset replaces; ///< Version in force; 0 for a new service.
    bool unchanged = false;
    std::string refusal; ///< Why replay would drop the document; empty if it would not.
    std::vector<core::ServerName> added;
    std::vector<core::ServerName> removed;
    std::vector<core::ServerName> leaving; ///< Newly marked as leaving.
    std::vector<core::ServerName> changed; ///< Servers with any other changed field.
    std::vector<std::string> fields;       ///< Changed fields of the document, other than servers.
    std::vector<LosingServer> losing;
    std::uint64_t slotsToMove = 0;      ///< Slots and hot keys that must move to another owner.
    std::uint64_t acceptingServers = 0; ///< Servers that accept slots afterwards.
};

/// Compares `document` with the state in force.
Plan makePlan(const decisions::ClusterState &state, const decisions::ServiceDocument &document);

} // namespace amaranthdale::cli
