// JSON form of the faults.
#include "backend_standin/settings.h"

#include "amaranthdale/records/duration.h"

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t slowest = 10'000;
constexpr std::size_t longestBody = 64 * 1024;
constexpr core::Duration longestLag = std::chrono::minutes(10);

} // namespace

void readControl(records::ObjectReader &reader, BackendControl &control)
{
    using records::Presence;
    BackendFaults &faults = control.faults;
    reader.integer("slowFactor", faults.slowFactor, std::uint64_t(1), slowest, Presence::Optional);
    reader.flag("shed", faults.shed, Presence::Optional);
    reader.text("crashBody", faults.crashBody, longestBody, Presence::Optional);
    reader.duration("loadLag", faults.loadLag, {}, longestLag, Presence::Optional);
    reader.integer("cutBodyAfter", faults.cutBodyAfter, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max(), Presence::Optional);
    reader.flag("turnCold", control.turnCold, Presence::Optional);
    reader.flag("restart", control.restart, Presence::Optional);
}

boost::json::object toJson(const BackendFaults &faults)
{
    return {{"slowFactor", faults.slowFactor},
            {"shed", faults.shed},
            {"crashBody", faults.crashBody},
            {"loadLag", records::formatDuration(faults.loadLag)},
            {"cutBodyAfter", faults.cutBodyAfter}};
}

} // namespace amaranthdale::tools
