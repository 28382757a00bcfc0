// Counters and latency histograms of an instance in the Prometheus text format.
#pragma once

#include "amaranthdale/core/types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::gateway {

/// Named counters and one latency histogram per route. Thread-safe; no other lock is taken while
/// its lock is held.
class Statistics
{
public:
    /// Adds to the counter `name` with a label such as `reason="over-capacity"`. Labels beyond 512
    /// of one counter are counted together.
    void count(const std::string &name, const std::string &label = {}, std::uint64_t amount = 1);

    /// Records the time from the arrival of a request to its final response.
    void observe(const std::string &route, core::Duration elapsed);

    /// Renders all metrics in the Prometheus text format, version 0.0.4. Times are in seconds.
    std::string render() const;

    /// The value of a counter, or 0 if it was never counted.
    std::uint64_t value(const std::string &name, const std::string &label = {}) const;

    /// Escapes text for use between the quotes of a label.
    static std::string escapeLabelValue(std::string_view text);

private:
    static constexpr std::size_t bucketCount = 12;
    struct Histogram
    {
        std::array<std::uint64_t, bucketCount> buckets{};
        std::uint64_t count = 0;
        double sum = 0; ///< Seconds.
    };

    mutable std::mutex mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> counters;
    std::map<std::string, Histogram> latencies;
};

} // namespace amaranthdale::gateway
