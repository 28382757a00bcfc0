// Responses of the operators' port other than the report: the instance list and key ownership.
#pragma once

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::report {

/// Log position that an instance reported in its last heartbeat.
struct HeartbeatOffset
{
    core::LogOffset offset; ///< Newest offset that it had replayed.
    core::Duration age{};   ///< Time since the heartbeat; JSON truncates it to milliseconds.

    bool operator==(const HeartbeatOffset &) const = default;
};

/// An entry of the platform's instance list, with what the reporting instance knows of it.
struct InstanceView
{
    core::InstanceName name;
    core::DataCentreName dataCentre;
    bool leaving = false;
    /// Empty if its current incarnation sent no heartbeat.
    std::optional<HeartbeatOffset> lastHeartbeat;

    bool operator==(const InstanceView &) const = default;
};

/// Encodes the body of `GET /instances`:
/// {"instances":[{"name","dataCentre","leaving","offset","ageMs"}]}. `offset` and `ageMs` are
/// absent if no heartbeat was received.
std::string encodeInstances(const std::vector<InstanceView> &instances);
records::ValidationResult<std::vector<InstanceView>> decodeInstances(std::string_view text);

/// Owner and controller of a key, and the records that determine them.
struct Explanation
{
    core::LogOffset offset; ///< Offset of the state that the explanation describes.
    core::ServiceName service;
    core::SlotIndex slot = 0;
    bool hotKey = false;     ///< The key has its own owner, which overrides the slot's.
    core::ServerName server; ///< Empty if the key has no owner.
    core::LogOffset since;   ///< Record that assigned the key or its slot to the server.
    core::DataCentreName dataCentre;
    core::InstanceName controller; ///< Empty if the server has none.
    core::Epoch epoch;             ///< Offset of the record that appointed the controller.
    std::vector<core::InstanceName> successors;
    std::vector<std::string> reasons; ///< Human-readable, in order of evaluation.

    bool operator==(const Explanation &) const = default;
};

/// Explains the owner of `key`; for a service without keys, `key` is the id of a non-idempotent
/// request. Fails with NotFound if no document of `service` is in force.
core::Result<Explanation> explainKey(const decisions::ClusterState &state,
                                     const core::ServiceName &service, std::string_view key);

/// Encodes the body of `GET /explain`.
std::string encodeExplanation(const Explanation &explanation);
records::ValidationResult<Explanation> decodeExplanation(std::string_view text);

} // namespace amaranthdale::report
