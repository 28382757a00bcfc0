// Identifiers and small value types shared by all libraries.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace amaranthdale::core {

namespace detail {

// Strongly typed string: names of different kinds don't convert to each other.
template<class Tag>
struct Name
{
    std::string value;

    Name() = default;
    explicit Name(std::string text) : value(std::move(text)) { }

    auto operator<=>(const Name &) const = default;
    bool empty() const { return this->value.empty(); }
};

// Strongly typed integer: numbers of different kinds don't convert to each other.
template<class Tag>
struct Number
{
    std::uint64_t value = 0;

    Number() = default;
    explicit Number(std::uint64_t number) : value(number) { }

    auto operator<=>(const Number &) const = default;
};

} // namespace detail

using ServiceName = detail::Name<struct ServiceTag>;
using ServerName = detail::Name<struct ServerTag>;
using InstanceName = detail::Name<struct InstanceTag>;
using DataCentreName = detail::Name<struct DataCentreTag>;
using BrandName = detail::Name<struct BrandTag>;
using OrganisationName = detail::Name<struct OrganisationTag>;
using RequestId = detail::Name<struct RequestIdTag>;

/// Position of a record on the log stream. Records start at 1; 0 is the empty state.
using LogOffset = detail::Number<struct LogOffsetTag>;

/// Offset of the record that made an instance the controller of a backend server; 0 means none.
using Epoch = detail::Number<struct EpochTag>;

/// Random number drawn at process start, which distinguishes a restarted process from its
/// predecessor.
using Incarnation = detail::Number<struct IncarnationTag>;

/// Index of a hash slot of one service, below the service's `hashSlots`.
using SlotIndex = std::uint32_t;

/// Duration type of all intervals, timeouts and leases.
using Duration = std::chrono::steady_clock::duration;

/// Point on the monotonic clock of this process; meaningless in another one, so never sent.
using TimePoint = std::chrono::steady_clock::time_point;

/// Fencing token of a grant: a backend server that checks fences rejects lower ones.
struct Fence
{
    Epoch epoch;
    std::uint64_t sequence = 0;

    auto operator<=>(const Fence &) const = default;
};

/// Identifies one run of an instance. Rights granted by log records belong to the run, not to the
/// name alone.
struct InstanceId
{
    InstanceName name;
    Incarnation incarnation;

    auto operator<=>(const InstanceId &) const = default;
};

} // namespace amaranthdale::core

template<class Tag>
struct std::hash<amaranthdale::core::detail::Name<Tag>>
{
    std::size_t operator()(const amaranthdale::core::detail::Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.value);
    }
};
