// RapidCheck generators of valid documents and records.
#pragma once

#include "amaranthdale/decisions/log_records.h"

#include <rapidcheck.h>

namespace amaranthdale::testing {

inline rc::Gen<std::string> identifiers()
{
    return rc::gen::map(rc::gen::pair(rc::gen::inRange('a', static_cast<char>('z' + 1)),
                                      rc::gen::container<std::string>(
                                              rc::gen::elementOf(std::string("abcXYZ019._-:@")))),
                        [](const std::pair<char, std::string> &parts) {
                            return (parts.first + parts.second).substr(0, 100);
                        });
}

template<class Name>
Name anyName()
{
    return Name(*identifiers());
}

inline core::InstanceId anyInstance()
{
    return {anyName<core::InstanceName>(), core::Incarnation(*rc::gen::arbitrary<std::uint64_t>())};
}

inline std::vector<core::InstanceId> anyInstances()
{
    std::vector<core::InstanceId> result;
    for (int left = *rc::gen::inRange(0, 3); left > 0; --left)
        result.push_back(anyInstance());
    return result;
}

inline decisions::ServiceDocument anyDocument()
{
    decisions::ServiceDocument document;
    document.service = anyName<core::ServiceName>();
    document.key.kind = *rc::gen::element(decisions::ValueSource::Kind::None,
                                          decisions::ValueSource::Kind::PathSegment);
    if (document.key.kind == decisions::ValueSource::Kind::PathSegment)
        document.key.segment = *rc::gen::inRange<std::size_t>(0, 16);
    if (*rc::gen::arbitrary<bool>())
        document.brand = {decisions::ValueSource::Kind::Header, "X-Brand", 0};
    if (*rc::gen::arbitrary<bool>())
        document.brands = {{core::BrandName("b1"), *rc::gen::inRange(1U, 1001U)}};
    document.hashSlots = *rc::gen::inRange<core::SlotIndex>(1, 300);
    document.hashSeed = *rc::gen::arbitrary<std::uint64_t>();
    document.requestTimeout = std::chrono::milliseconds(*rc::gen::inRange(1, 600'001));
    document.objective.availability = *rc::gen::inRange(1, 1000) / 1000.0;
    const int servers = *rc::gen::inRange(0, 5);
    for (int index = 0; index < servers; ++index) {
        decisions::BackendServer server;
        server.name =
                core::ServerName(document.service.value.substr(0, 90) + std::to_string(index));
        server.dataCentre = anyName<core::DataCentreName>();
        server.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1 + index)};
        server.requestSlots = *rc::gen::inRange(1U, 10'001U);
        server.coldSlots = *rc::gen::inRange(1U, server.requestSlots + 1);
        server.checksFence = *rc::gen::arbitrary<bool>();
        server.leaving = *rc::gen::arbitrary<bool>();
        document.servers.push_back(server);
    }
    return document;
}

inline decisions::SlotRecord anySlotRecord()
{
    decisions::SlotRecord record;
    record.service = anyName<core::ServiceName>();
    record.release = *rc::gen::element(
            decisions::ReassignmentReason::Initial, decisions::ReassignmentReason::Acknowledged,
            decisions::ReassignmentReason::LeaseExpired, decisions::ReassignmentReason::WaitedOut);
    if (record.release != decisions::ReassignmentReason::Initial)
        record.from = anyName<core::ServerName>();
    record.fromEpoch = core::Epoch(*rc::gen::arbitrary<std::uint64_t>());
    // Hot keys may contain arbitrary bytes, including invalid UTF-8 and NUL.
    record.moves = {{anyName<core::ServerName>(),
                     *rc::gen::arbitrary<std::vector<core::SlotIndex>>(),
                     *rc::gen::arbitrary<std::vector<std::string>>()}};
    return record;
}

inline decisions::RecordBody anyBody()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return decisions::DocumentRecord{anyDocument()};
    case 1:
        return decisions::DataCentreRecord{anyName<core::DataCentreName>(),
                                           *rc::gen::arbitrary<bool>()};
    case 2:
        return decisions::ControllerRecord{anyName<core::ServerName>(), anyInstance(),
                                           anyInstances(), *rc::gen::arbitrary<bool>()};
    case 3:
        return anySlotRecord();
    case 4:
        return decisions::CrashRecord{*rc::gen::arbitrary<std::uint64_t>(),
                                      std::chrono::milliseconds(*rc::gen::inRange(0, 86'400'001))};
    default:
        return decisions::SnapshotRecord{core::LogOffset(*rc::gen::arbitrary<std::uint64_t>()), 2,
                                         3, *rc::gen::arbitrary<std::string>()};
    }
}

inline decisions::LogRecord anyRecord()
{
    return {{anyInstance(), *rc::gen::arbitrary<std::uint64_t>()},
            core::LogOffset(*rc::gen::arbitrary<std::uint64_t>()),
            anyBody()};
}

/// Replaces, removes or duplicates a few bytes.
inline std::string mutate(std::string text)
{
    for (int left = *rc::gen::inRange(1, 4); left > 0 && !text.empty(); --left) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 20));
            break;
        default:
            text.insert(at, text.substr(at, 20));
        }
    }
    return text;
}

/// Checks a property with a fixed seed, so that failures are reproducible.
template<class Property>
bool holds(const std::string &name, Property &&property)
{
    rc::detail::TestParams parameters;
    parameters.seed = 20260;
    parameters.maxSuccess = 200;
    parameters.maxSize = 40;
    rc::detail::TestMetadata metadata;
    metadata.description = name;
    const auto result =
            rc::detail::checkTestable(std::forward<Property>(property), metadata, parameters);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace amaranthdale::testing
