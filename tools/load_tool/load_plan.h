// What load to make, and the seeded choice of requests.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/random/mersenne_twister.hpp>

#include <string>
#include <vector>

namespace amaranthdale::tools {

struct LoadPlan
{
    std::vector<core::Endpoint> instances; ///< Requests go to them in turn.
    core::ServiceName service;
    std::string keyHeader = "X-Key";
    std::string brandHeader = "X-Brand";
    std::vector<std::string> brands; ///< Chosen evenly; empty: no brand header.
    std::size_t keys = 10'000;
    double zipfExponent = 1.0;       ///< 0 makes all keys equally likely.
    double nonIdempotentShare = 0.1; ///< Sent as POST; the others as GET.
    std::size_t bodyBytes = 1024;    ///< Of a POST.
    double ratePerSecond = 0;        ///< Open loop; 0: closed loop.
    std::size_t concurrency = 16;    ///< Requests in flight in the closed loop.
    core::Duration length = std::chrono::seconds(10);
    core::Duration timeout = std::chrono::seconds(3);
    unsigned resends = 2; ///< Of an unanswered non-idempotent request, through other instances.
    bool direct = false;  ///< The targets are backend servers, which state no outcome.
    bool ownIds = false;  ///< Ids are made here, else fetched from the instances.
    std::size_t idBatch = 100;
    std::uint64_t seed = 1;
};

/// A request before it has an id.
struct PlannedRequest
{
    std::uint64_t number = 0;
    bool idempotent = true;
    core::HttpRequest http;
};

/// The same seed gives the same requests. Not thread-safe.
class RequestMix
{
public:
    explicit RequestMix(const LoadPlan &plan);

    PlannedRequest next();

private:
    std::size_t drawKey();

    const LoadPlan &plan;
    boost::random::mt19937_64 random;
    std::vector<double> cumulative; // Of the weights of keys 0 to n; rising.
    std::uint64_t lastNumber = 0;
};

} // namespace amaranthdale::tools
