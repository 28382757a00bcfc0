// JSON encoding of the injected faults.
#include "backend_standin/settings.h"

#include "amaranthdale/records/duration.h"

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t maxSlowFactor = 10'000;
constexpr std::size_t maxCrashBodyBytes = 64 * 1024;
constexpr core::Duration maxLoadLag = std::chrono::minutes(10);

} // namespace

void readControlRequest(records::ObjectReader &reader, BackendControlRequest &request)
{
    using records::Presence;
    BackendFaults &faults = request.faults;
    reader.integer("slowFactor", faults.slowFactor, std::uint64_t(1), maxSlowFactor,
                   Presence::Optional);
    reader.boolean("shed", faults.shed, Presence::Optional);
    reader.text("crashBody", faults.crashBody, maxCrashBodyBytes, Presence::Optional);
    reader.duration("loadLag", faults.loadLag, {}, maxLoadLag, Presence::Optional);
    reader.integer("cutBodyAfter", faults.cutBodyAfter, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max(), Presence::Optional);
    reader.boolean("turnCold", request.turnCold, Presence::Optional);
    reader.boolean("restart", request.restart, Presence::Optional);
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
