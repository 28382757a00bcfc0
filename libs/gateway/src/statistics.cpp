// Rendering of counters and histograms in the Prometheus text format.
#include "amaranthdale/gateway/statistics.h"

#include <sstream>

namespace amaranthdale::gateway {

namespace {

// Upper bounds of the histogram buckets in seconds. Target latencies are between 0.1 and 0.6 s.
constexpr std::array<double, 12> bucketBounds{0.01, 0.025, 0.05, 0.1, 0.15, 0.2,
                                              0.3,  0.4,   0.6,  1.0, 2.0,  5.0};

// Series of one counter. Labels that follow the configuration, such as organisations, may change
// without end.
constexpr std::size_t maxSeries = 512;
constexpr const char *overflowLabel = "overflow=\"true\"";

} // namespace

void Statistics::count(const std::string &name, const std::string &label, std::uint64_t amount)
{
    std::lock_guard lock(this->mutex);
    auto &series = this->counters[name];
    const bool fits = series.size() < maxSeries || series.contains(label);
    series[fits ? label : overflowLabel] += amount;
}

void Statistics::observe(const std::string &route, core::Duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    std::lock_guard lock(this->mutex);
    Histogram &histogram = this->latencies[route];
    for (std::size_t index = 0; index < bucketBounds.size(); ++index) {
        if (seconds <= bucketBounds[index])
            ++histogram.buckets[index];
    }
    ++histogram.count;
    histogram.sum += seconds;
}

std::string Statistics::render() const
{
    std::ostringstream text;
    std::lock_guard lock(this->mutex);
    for (const auto &[name, values] : this->counters) {
        text << "# TYPE amaranthdale_" << name << " counter\n";
        for (const auto &[label, value] : values) {
            text << "amaranthdale_" << name;
            if (!label.empty())
                text << '{' << label << '}';
            text << ' ' << value << '\n';
        }
    }
    text << "# TYPE amaranthdale_request_seconds histogram\n";
    for (const auto &[route, histogram] : this->latencies) {
        const std::string label = "route=\"" + route + "\"";
        for (std::size_t index = 0; index < bucketBounds.size(); ++index)
            text << "amaranthdale_request_seconds_bucket{" << label << ",le=\""
                 << bucketBounds[index] << "\"} " << histogram.buckets[index] << '\n';
        text << "amaranthdale_request_seconds_bucket{" << label << ",le=\"+Inf\"} "
             << histogram.count << '\n';
        text << "amaranthdale_request_seconds_sum{" << label << "} " << histogram.sum << '\n';
        text << "amaranthdale_request_seconds_count{" << label << "} " << histogram.count << '\n';
    }
    return text.str();
}

std::string Statistics::escapeLabelValue(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            escaped.push_back('\\');
        escaped.push_back(c);
    }
    return escaped;
}

std::uint64_t Statistics::value(const std::string &name, const std::string &label) const
{
    std::lock_guard lock(this->mutex);
    const auto values = this->counters.find(name);
    if (values == this->counters.end())
        return 0;
    const auto value = values->second.find(label);
    return value == values->second.end() ? 0 : value->second;
}

} // namespace amaranthdale::gateway
