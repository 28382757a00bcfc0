// JSON encoding of the injected faults.
#include "log_standin/log_faults.h"

#include "amaranthdale/records/duration.h"

namespace amaranthdale::tools {

namespace {

constexpr core::Duration maxDelay = std::chrono::hours(1);
constexpr std::uint64_t maxLostResponses = 1'000'000;

} // namespace

void readFaults(records::ObjectReader &reader, LogFaults &faults)
{
    using records::Presence;
    const core::Duration none{};
    reader.boolean("down", faults.down, Presence::Optional);
    reader.duration("appendDelay", faults.appendDelay, none, maxDelay, Presence::Optional);
    reader.duration("effectDelay", faults.effectDelay, none, maxDelay, Presence::Optional);
    reader.duration("readDelay", faults.readDelay, none, maxDelay, Presence::Optional);
    reader.integer("loseAppendResponses", faults.loseAppendResponses, std::uint64_t(0),
                   maxLostResponses, Presence::Optional);
}

boost::json::object toJson(const LogFaults &faults)
{
    return {{"down", faults.down},
            {"appendDelay", records::formatDuration(faults.appendDelay)},
            {"effectDelay", records::formatDuration(faults.effectDelay)},
            {"readDelay", records::formatDuration(faults.readDelay)},
            {"loseAppendResponses", faults.loseAppendResponses}};
}

} // namespace amaranthdale::tools
