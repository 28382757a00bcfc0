// Results of a load run.
#include "load_tool/load_summary.h"

#include "amaranthdale/records/duration.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace amaranthdale::tools {

namespace {

std::string inMicroseconds(core::Duration duration)
{
    return records::formatDuration(std::chrono::duration_cast<std::chrono::microseconds>(duration));
}

double perSecond(std::uint64_t count, core::Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

} // namespace

void LoadSummary::count(const history::CallEvent &event)
{
    this->answered += event.outcome == history::CallOutcome::Answered ? 1 : 0;
    this->notRun += event.outcome == history::CallOutcome::NotRun ? 1 : 0;
    this->unknown += event.outcome == history::CallOutcome::Unknown ? 1 : 0;
    this->wrong += event.response == history::ResponseCheck::Wrong ? 1 : 0;
    this->shortBodies += event.response == history::ResponseCheck::Short ? 1 : 0;
}

core::Duration LoadSummary::quantile(double share) const
{
    if (this->latencies.empty())
        return {};
    std::vector<core::Duration> sorted = this->latencies;
    const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

std::string LoadSummary::toText() const
{
    std::ostringstream text;
    text << "answered=" << this->answered << " notRun=" << this->notRun
         << " unknown=" << this->unknown << " resent=" << this->resent << " wrong=" << this->wrong
         << " short=" << this->shortBodies
         << " perSecond=" << perSecond(this->answered, this->duration)
         << " p50=" << inMicroseconds(this->quantile(0.5))
         << " p99=" << inMicroseconds(this->quantile(0.99))
         << " max=" << inMicroseconds(this->quantile(1));
    return text.str();
}

std::string LoadSummary::toJson() const
{
    return boost::json::serialize(
            boost::json::object{{"answered", this->answered},
                                {"notRun", this->notRun},
                                {"unknown", this->unknown},
                                {"resent", this->resent},
                                {"wrong", this->wrong},
                                {"short", this->shortBodies},
                                {"perSecond", perSecond(this->answered, this->duration)},
                                {"p50", inMicroseconds(this->quantile(0.5))},
                                {"p99", inMicroseconds(this->quantile(0.99))},
                                {"max", inMicroseconds(this->quantile(1))}});
}

} // namespace amaranthdale::tools
