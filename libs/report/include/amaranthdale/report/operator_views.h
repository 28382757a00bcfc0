// Answers of the operators' port beside the report: instances, and who owns a key.
#pragma once

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/records/fault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::report {

/// What a heartbeat said about an instance.
struct HeardOffset
{
    core::LogOffset offset; ///< Newest that it had replayed.
    core::Duration age{};   ///< Time since it said so; in JSON rounded down to milliseconds.

    bool operator==(const HeardOffset &) const = default;
};

/// An instance of the platform's list as another one knows it.
struct InstanceView
{
    core::InstanceName name;
    core::DataCentreName dataCentre;
    bool leaving = false;
    std::optional<HeardOffset> heard; ///< Nothing when its present incarnation sent no heartbeat.

    bool operator==(const InstanceView &) const = default;
};

/// Body of `GET /instances`: {"instances":[{"name","dataCentre","leaving","offset","ageMs"}]}; the
/// last two are absent when nothing was heard.
std::string encodeInstances(const std::vector<InstanceView> &instances);
records::Checked<std::vector<InstanceView>> decodeInstances(std::string_view text);

/// Who owns a key, and by which records.
struct Explanation
{
    core::LogOffset offset; ///< Of the state that was read.
    core::ServiceName service;
    core::SlotIndex slot = 0;
    bool hotKey = false;     ///< The key has its own entry, which overrides the slot.
    core::ServerName server; ///< Empty when nothing owns the key.
    core::LogOffset since;   ///< Record that gave the key or its slot to the server.
    core::DataCentreName dataCentre;
    core::InstanceName controller; ///< Empty when the server has none.
    core::Epoch epoch;             ///< Record that made it the controller.
    std::vector<core::InstanceName> successors;
    std::vector<std::string> reasons; ///< Sentences for people, in order of the decision.

    bool operator==(const Explanation &) const = default;
};

/// Explains the owner of `key`; of a service without keys, `key` is the id of a non-idempotent
/// request. Fails with NotFound when no document of `service` is in force.
core::Result<Explanation> explainKey(const decisions::ClusterState &state,
                                     const core::ServiceName &service, std::string_view key);

/// Body of `GET /explain`.
std::string encodeExplanation(const Explanation &explanation);
records::Checked<Explanation> decodeExplanation(std::string_view text);

} // namespace amaranthdale::report
