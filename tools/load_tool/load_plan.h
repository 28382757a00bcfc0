// Parameters of a load run, and the seeded generator of its requests.
#pragma once

#include "amaranthdale/core/message.h"

#include <boost/random/mersenne_twister.hpp>

#include <string>
#include <vector>

namespace amaranthdale::tools {

struct LoadPlan
{
    std::vector<core::Endpoint> instances; ///< Receive requests in turn (round robin).
    core::ServiceName service;
    std::string keyHeader = "X-Key";
    std::string brandHeader = "X-Brand";
    std::vector<std::string> brands; ///< Chosen uniformly; if empty, no brand header is sent.
    std::size_t keys = 10'000;
    double zipfExponent = 1.0;       ///< 0 makes all keys equally likely.
    double nonIdempotentShare = 0.1; ///< Share sent as POST; the others are GET.
    std::size_t bodyBytes = 1024;    ///< Body size of a POST.
    double ratePerSecond = 0;        ///< Rate of the open loop; 0 selects the closed loop.
    std::size_t concurrency = 16;    ///< Requests in flight in the closed loop.
    core::Duration duration = std::chrono::seconds(10);
    core::Duration timeout = std::chrono::seconds(3);
    unsigned resends = 2; ///< Of an unanswered non-idempotent request, each to the next instance.
    bool direct = false;  ///< The targets are backend servers, which send no X-Outcome.
    bool ownIds = false;  ///< Generates request ids locally instead of fetching them.
    std::size_t idBatch = 100;
    std::uint64_t seed = 1;
};

/// A generated request that has no request id yet.
struct PlannedRequest
{
    std::uint64_t number = 0;
    bool idempotent = true;
    core::HttpRequest http;
};

/// Generates the same requests for the same seed. Not thread-safe. `plan` must outlive it.
class RequestGenerator
{
public:
    explicit RequestGenerator(const LoadPlan &plan);

    PlannedRequest next();

private:
    std::size_t sampleKey();

    const LoadPlan &plan;
    boost::random::mt19937_64 random;
    std::vector<double> cumulative; // Cumulative weights of the keys, ascending.
    std::uint64_t lastNumber = 0;
};

} // namespace amaranthdale::tools
