// Seeded generator of the requests of a load run.
#include "load_tool/load_plan.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace amaranthdale::tools {

RequestGenerator::RequestGenerator(const LoadPlan &loadPlan) : plan(loadPlan), random(loadPlan.seed)
{
    double sum = 0;
    for (std::size_t rank = 1; rank <= this->plan.keys; ++rank) {
        sum += std::pow(static_cast<double>(rank), -this->plan.zipfExponent);
        this->cumulative.push_back(sum);
    }
}

std::size_t RequestGenerator::sampleKey()
{
    const double sample = boost::random::uniform_01<>()(this->random) * this->cumulative.back();
    const auto found = std::upper_bound(this->cumulative.begin(), this->cumulative.end(), sample);
    const auto index = static_cast<std::size_t>(found - this->cumulative.begin());
    return std::min(index, this->cumulative.size() - 1);
}

PlannedRequest RequestGenerator::next()
{
    PlannedRequest request;
    request.number = ++this->lastNumber;
    request.idempotent =
            boost::random::uniform_01<>()(this->random) >= this->plan.nonIdempotentShare;
    const std::size_t key = this->sampleKey();
    request.http.method = request.idempotent ? "GET" : "POST";
    request.http.target = "/" + this->plan.service.value + "/item/" + std::to_string(key);
    request.http.headers.push_back({this->plan.keyHeader, "key-" + std::to_string(key)});
    if (!this->plan.brands.empty()) {
        boost::random::uniform_int_distribution<std::size_t> brandIndex(
                0, this->plan.brands.size() - 1);
        request.http.headers.push_back(
                {this->plan.brandHeader, this->plan.brands[brandIndex(this->random)]});
    }
    if (!request.idempotent) {
        // Each body is distinct, so that the hash reveals a response to another request.
        request.http.body = std::to_string(request.number) + ":";
        request.http.body.resize(std::max(this->plan.bodyBytes, request.http.body.size()), 'x');
    }
    return request;
}

} // namespace amaranthdale::tools
