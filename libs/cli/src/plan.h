// What a document would change.
#pragma once

#include "amaranthdale/decisions/cluster_state.h"

#include <string>
#include <vector>

namespace amaranthdale::cli {

/// A server that loses its slots under the planned document.
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
    std::string refusal; ///< Why replay would drop the document; empty when it would not.
    std::vector<core::ServerName> added;
    std::vector<core::ServerName> removed;
    std::vector<core::ServerName> leaving; ///< Newly marked.
    std::vector<core::ServerName> changed; ///< Any other field.
    std::vector<std::string> fields;       ///< Other fields of the document that differ.
    std::vector<LosingServer> losing;
    std::uint64_t slotsToMove = 0;      ///< Slots and hot keys that have to leave their owner.
    std::uint64_t acceptingServers = 0; ///< Servers that may receive slots afterwards.
};

/// Compares `document` with the state in force.
Plan makePlan(const decisions::ClusterState &state, const decisions::ServiceDocument &document);

} // namespace amaranthdale::cli
