// Service configuration, written by the team that owns the service.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/core/types.h"

#include <string>
#include <vector>

namespace amaranthdale::decisions {

/// Where a request carries a value such as its key.
struct ValueSource
{
    enum class Kind { None, Header, PathSegment };

    Kind kind = Kind::None;
    std::string header;      ///< For Header.
    std::size_t segment = 0; ///< For PathSegment: 0 is the first segment after the service's name.

    bool operator==(const ValueSource &) const = default;
};

/// A customer of the service, with its share of each backend server.
struct Brand
{
    core::BrandName name;
    unsigned weight = 1;

    bool operator==(const Brand &) const = default;
};

/// Service-level objective.
struct Objective
{
    double availability = 0.999; ///< Target share of answered requests.
    core::Duration latency = std::chrono::milliseconds(100);
    double latencyShare = 0.99; ///< Target share of answered requests within `latency`.

    bool operator==(const Objective &) const = default;
};

/// A backend server as declared in a service document.
struct BackendServer
{
    core::ServerName name; ///< Unique across all services.
    core::DataCentreName dataCentre;
    core::Endpoint endpoint;
    unsigned requestSlots = 4; ///< Concurrent requests when warm.
    unsigned coldSlots = 1;    ///< Concurrent requests that it sustains just after a start.
    unsigned maxConnections = 100;
    bool checksFence = true;
    bool leaving = false; ///< Gets no new requests; its hash slots move away.

    bool operator==(const BackendServer &) const = default;
};

/// Configuration of one service. An update replaces the whole document.
struct ServiceDocument
{
    core::ServiceName service;
    ValueSource key; ///< When None, any server may answer idempotent requests.
    ValueSource brand;
    std::vector<Brand> brands;        ///< Brands that aren't listed have weight 1.
    core::SlotIndex hashSlots = 1024; ///< Must not change once slots are assigned.
    std::uint64_t hashSeed = 0;       ///< Must not change once slots are assigned.
    core::Duration requestTimeout = std::chrono::seconds(2); ///< Upper bound for deadlines.
    core::Duration idempotencyWindow = std::chrono::minutes(10);
    std::vector<std::string> idempotentMethods = {"GET", "HEAD"};
    std::size_t maxBodyBytes = 1024 * 1024;
    Objective objective;
    std::vector<BackendServer> servers;

    bool keyed() const { return this->key.kind != ValueSource::Kind::None; }
    bool isIdempotent(std::string_view method) const;

    bool operator==(const ServiceDocument &) const = default;
};

} // namespace amaranthdale::decisions
