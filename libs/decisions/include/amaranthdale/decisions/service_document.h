// The document by which a service team describes its service.
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
    std::size_t segment = 0; ///< For PathSegment: 0 is the first one after the service's name.

    bool operator==(const ValueSource &) const = default;
};

/// A customer of the service whose requests get a share of each backend server.
struct Brand
{
    core::BrandName name;
    unsigned weight = 1;

    bool operator==(const Brand &) const = default;
};

/// Service-level objective.
struct Objective
{
    double availability = 0.999; ///< Share of requests to be answered.
    core::Duration latency = std::chrono::milliseconds(100);
    double latencyShare = 0.99; ///< Share of answered requests to stay within `latency`.

    bool operator==(const Objective &) const = default;
};

/// A backend server as its service team declares it.
struct BackendServer
{
    core::ServerName name; ///< Unique across all services.
    core::DataCentreName dataCentre;
    core::Endpoint endpoint;
    unsigned requestSlots = 4; ///< Requests that it runs at once when warm.
    unsigned coldSlots = 1;    ///< Requests that it bears at once just after its start.
    unsigned maxConnections = 100;
    bool checksFence = true;
    bool leaving = false; ///< Gets no new work; its hash slots move away.

    bool operator==(const BackendServer &) const = default;
};

/// Declares one service. Replaced as a whole.
struct ServiceDocument
{
    core::ServiceName service;
    ValueSource key; ///< None: any server may answer an idempotent request.
    ValueSource brand;
    std::vector<Brand> brands;        ///< Requests of a brand not listed here get weight 1.
    core::SlotIndex hashSlots = 1024; ///< Fixed once slots are assigned.
    std::uint64_t hashSeed = 0;       ///< Fixed once slots are assigned.
    core::Duration requestTimeout = std::chrono::seconds(2); ///< Upper bound of any deadline.
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
