// Parsing and validation of settings.
#include "amaranthdale/daemon/settings.h"

#include "amaranthdale/records/duration.h"
#include "amaranthdale/records/object_reader.h"

#include <array>

namespace amaranthdale::daemon {

namespace {

using namespace std::chrono_literals;
using records::Faults;
using records::ObjectReader;
using records::Presence;

constexpr unsigned maxWorkers = 64;

// Limit of authority + lease + drift: the wait before slots are taken over when their server and
// its controller fail together. It starts after 300 ms of failure detection, so a longer wait would
// miss the target of serving a key again within 1 s.
constexpr core::Duration maxTakeoverWait = 600ms;

constexpr std::string_view operatorPrefix = "operator:";

bool isWildcard(const core::Endpoint &endpoint)
{
    return endpoint.address == "0.0.0.0" || endpoint.address == "::";
}

void readListen(ObjectReader &reader, Settings &settings)
{
    // Port 0 selects an ephemeral port.
    reader.endpoint("callers", settings.callerListen, 0);
    reader.endpoint("peers", settings.peerListen, 0);
    reader.endpoint("operators", settings.operatorListen, 0);
    if (isWildcard(settings.peerListen))
        reader.addFault("peers",
                        "is a wildcard address, which other instances can't connect to; use "
                        "the address of this machine");

    struct Listener
    {
        std::string_view name;
        const core::Endpoint *endpoint;
    };
    const std::array<Listener, 3> listeners = {Listener{"callers", &settings.callerListen},
                                               Listener{"peers", &settings.peerListen},
                                               Listener{"operators", &settings.operatorListen}};
    for (std::size_t later = 1; later < listeners.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const core::Endpoint &endpoint = *listeners[later].endpoint;
            if (endpoint.port != 0 && endpoint == *listeners[earlier].endpoint)
                reader.addFault(listeners[later].name,
                                "same as " + reader.pathOf(listeners[earlier].name)
                                        + "; use a separate port for each listener");
        }
    }
}

void checkAtMostHalf(ObjectReader &reader, std::string_view name, core::Duration value,
                     std::string_view whole, core::Duration wholeValue)
{
    if (value * 2 <= wholeValue)
        return;
    reader.addFault(name,
                    "is more than half of " + std::string(whole)
                            + ", so that one lost message can expire it; " + "use at most "
                            + records::formatDuration(wholeValue / 2));
}

void checkTakeoverWait(ObjectReader &reader, const Timings &timings)
{
    const core::Duration wait = timings.authority + timings.lease + timings.drift;
    if (wait <= maxTakeoverWait)
        return;
    reader.addFault("lease",
                    "authority + lease + drift is " + records::formatDuration(wait)
                            + "; reduce them to at most " + records::formatDuration(maxTakeoverWait)
                            + " in total");
}

void readTimings(ObjectReader &reader, Timings &timings)
{
    reader.duration("lease", timings.lease, 50ms, 500ms, Presence::Optional);
    reader.duration("renewal", timings.renewal, 10ms, 250ms, Presence::Optional);
    reader.duration("heartbeat", timings.heartbeat, 10ms, 250ms, Presence::Optional);
    reader.duration("promise", timings.promise, 50ms, 500ms, Presence::Optional);
    reader.duration("authority", timings.authority, 20ms, 500ms, Presence::Optional);
    reader.duration("drift", timings.drift, 1ms, 100ms, Presence::Optional);
    reader.duration("drainLimit", timings.drainLimit, 1s, 10min, Presence::Optional);
    checkAtMostHalf(reader, "renewal", timings.renewal, "lease", timings.lease);
    checkAtMostHalf(reader, "heartbeat", timings.heartbeat, "promise", timings.promise);
    checkAtMostHalf(reader, "drift", timings.drift, "lease", timings.lease);
    checkTakeoverWait(reader, timings);
}

void readLogLevel(ObjectReader &reader, log::Severity &level)
{
    std::string name(log::severityName(level));
    const std::size_t maxNameLength = 16;
    reader.text("logLevel", name, maxNameLength, Presence::Optional);
    for (const auto severity : {log::Severity::Debug, log::Severity::Info, log::Severity::Warning,
                                log::Severity::Error}) {
        if (name == log::severityName(severity)) {
            level = severity;
            return;
        }
    }
    reader.addFault("logLevel", "is not a log level; use debug, info, warning or error");
}

void readSettings(ObjectReader &reader, Settings &settings)
{
    reader.name("instance", settings.instance);
    if (settings.instance.value.starts_with(operatorPrefix))
        reader.addFault("instance",
                        "names that start with operator: are reserved for the command line; choose "
                        "another name");
    reader.name("dataCentre", settings.dataCentre);
    reader.object("listen", Presence::Required,
                  [&](ObjectReader &each) { readListen(each, settings); });
    reader.object("logService", Presence::Required, [&](ObjectReader &each) {
        each.endpoint("endpoint", settings.logService);
        each.identifier("stream", settings.logStream, Presence::Optional);
    });
    reader.endpoint("instanceList", settings.instanceList);
    reader.integer("workers", settings.workers, 1U, maxWorkers, Presence::Optional);
    reader.object("timings", Presence::Optional,
                  [&](ObjectReader &each) { readTimings(each, settings.timings); });
    readLogLevel(reader, settings.logLevel);
}

} // namespace

records::ValidationResult<Settings> parseSettings(std::string_view text)
{
    Faults faults;
    Settings settings;
    if (const auto value = records::parseJson(text, faults)) {
        ObjectReader reader(*value, "", faults);
        readSettings(reader, settings);
        reader.rejectUnknownFields();
    }
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace amaranthdale::daemon
