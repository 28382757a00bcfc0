// Conversion between enumerators and their names.
#pragma once

#include "amaranthdale/report/report.h"

#include <algorithm>
#include <array>
#include <optional>

namespace amaranthdale::report {

template<class Enum>
struct EnumNames;

template<>
struct EnumNames<RequestOutcome>
{
    static constexpr std::array<std::string_view, 3> names = {"answered", "notRun", "unknown"};
};

template<>
struct EnumNames<NotRunReason>
{
    static constexpr std::array<std::string_view, 10> names = {
            "none",        "overloaded",      "noOwner",  "noAuthority",    "fenced",
            "unreachable", "crashProtection", "stopping", "invalidRequest", "cancelled"};
};

template<>
struct EnumNames<LimitReason>
{
    static constexpr std::array<std::string_view, 7> names = {
            "start",        "growth",       "latencyStep",   "refusals",
            "serverReport", "requestSlots", "connectionLost"};
};

template<>
struct EnumNames<OwnershipCause>
{
    static constexpr std::array<std::string_view, 7> names = {
            "firstAssignment", "balance",    "hotKey",   "serverLeaving",
            "dataCentreDrain", "serverLost", "waitedOut"};
};

template<>
struct EnumNames<Spender>
{
    static constexpr std::array<std::string_view, 4> names = {"nothing", "notRun", "unknown",
                                                              "slow"};
};

template<class Enum>
constexpr std::string_view enumName(Enum value)
{
    return EnumNames<Enum>::names[static_cast<std::size_t>(value)];
}

template<class Enum>
std::optional<Enum> parseEnum(std::string_view name)
{
    const auto &names = EnumNames<Enum>::names;
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Enum>(found - names.begin());
}

} // namespace amaranthdale::report
