// JSON encoding of events.
#include "amaranthdale/history/events.h"

#include "amaranthdale/records/object_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace amaranthdale::history {

namespace json = boost::json;
using records::Fault;
using records::Faults;
using records::ObjectReader;
using records::Presence;

namespace {

constexpr std::size_t maxTextBytes = 1024 * 1024;
constexpr std::uint64_t maxNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t maxMicroseconds = std::numeric_limits<std::int64_t>::max() / 2;
constexpr unsigned maxCount = std::numeric_limits<unsigned>::max();
constexpr core::SlotIndex maxSlot = std::numeric_limits<core::SlotIndex>::max();

// Names of the enumerators, in order of declaration.
constexpr std::array<std::string_view, 3> outcomeNames = {"answered", "notRun", "unknown"};
constexpr std::array<std::string_view, 4> checkNames = {"none", "right", "wrong", "short"};

std::uint64_t toMicroseconds(WallTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

json::string toJsonString(std::string_view name)
{
    return json::string(name.data(), name.size());
}

void readTime(ObjectReader &reader, std::string_view name, WallTime &time)
{
    std::uint64_t microseconds = 0;
    reader.integer(name, microseconds, std::uint64_t(0), maxMicroseconds);
    time = WallTime(std::chrono::microseconds(static_cast<std::int64_t>(microseconds)));
}

template<class Enumeration, std::size_t count>
void readEnum(ObjectReader &reader, std::string_view name,
              const std::array<std::string_view, count> &names, Enumeration &value)
{
    std::string text;
    reader.text(name, text, maxTextBytes);
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end())
        return reader.addFault(name, "unknown value; read it with the version that wrote it");
    value = static_cast<Enumeration>(found - names.begin());
}

json::object toJson(const StartEvent &event)
{
    return {{"kind", "start"},
            {"at", toMicroseconds(event.at)},
            {"server", event.server.value},
            {"incarnation", event.incarnation.value}};
}

void read(ObjectReader &reader, StartEvent &event)
{
    readTime(reader, "at", event.at);
    reader.name("server", event.server);
    reader.number("incarnation", event.incarnation);
}

void addFence(json::object &object, const core::Fence &fence)
{
    object["epoch"] = fence.epoch.value;
    object["sequence"] = fence.sequence;
}

void readFence(ObjectReader &reader, core::Fence &fence)
{
    reader.number("epoch", fence.epoch);
    reader.integer("sequence", fence.sequence, std::uint64_t(0), maxNumber);
}

json::object toJson(const GrantEvent &event)
{
    json::array slots;
    for (const SlotRange &range : event.slots)
        slots.push_back(json::object{{"first", range.first}, {"last", range.last}});
    json::array keys;
    for (const std::string &key : event.hotKeys)
        keys.push_back(json::object{{"key", key}});
    json::object result = {{"kind", "grant"},
                           {"at", toMicroseconds(event.at)},
                           {"until", toMicroseconds(event.until)},
                           {"server", event.server.value},
                           {"service", event.service.value},
                           {"slots", slots},
                           {"hotKeys", keys}};
    addFence(result, event.fence);
    return result;
}

void read(ObjectReader &reader, GrantEvent &event)
{
    readTime(reader, "at", event.at);
    readTime(reader, "until", event.until);
    reader.name("server", event.server);
    reader.name("service", event.service);
    readFence(reader, event.fence);
    reader.objects("slots", Presence::Required, [&event](ObjectReader &each) {
        SlotRange &range = event.slots.emplace_back();
        each.integer("first", range.first, core::SlotIndex(0), maxSlot);
        each.integer("last", range.last, range.first, maxSlot);
    });
    reader.objects("hotKeys", Presence::Required, [&event](ObjectReader &each) {
        each.text("key", event.hotKeys.emplace_back(), maxTextBytes);
    });
}

json::object toJson(const RunEvent &event)
{
    json::object result = {{"kind", "run"},
                           {"at", toMicroseconds(event.at)},
                           {"server", event.server.value},
                           {"service", event.service.value},
                           {"requestId", event.requestId.value},
                           {"method", event.method},
                           {"hotKey", event.hotKey},
                           {"running", event.running},
                           {"limit", event.limit}};
    if (event.slot)
        result["slot"] = *event.slot;
    addFence(result, event.fence);
    return result;
}

void read(ObjectReader &reader, RunEvent &event)
{
    readTime(reader, "at", event.at);
    reader.name("server", event.server);
    reader.name("service", event.service);
    reader.text("requestId", event.requestId.value, maxTextBytes);
    reader.text("method", event.method, maxTextBytes);
    if (reader.has("slot"))
        reader.integer("slot", event.slot.emplace(), core::SlotIndex(0), maxSlot);
    reader.text("hotKey", event.hotKey, maxTextBytes);
    readFence(reader, event.fence);
    reader.integer("running", event.running, 0U, maxCount);
    reader.integer("limit", event.limit, 0U, maxCount);
}

json::object toJson(const CallEvent &event)
{
    return {{"kind", "call"},
            {"at", toMicroseconds(event.at)},
            {"until", toMicroseconds(event.until)},
            {"requestId", event.requestId.value},
            {"service", event.service.value},
            {"method", event.method},
            {"idempotent", event.idempotent},
            {"outcome", toJsonString(outcomeNames[static_cast<std::size_t>(event.outcome)])},
            {"response", toJsonString(checkNames[static_cast<std::size_t>(event.response)])},
            {"status", event.status}};
}

void read(ObjectReader &reader, CallEvent &event)
{
    readTime(reader, "at", event.at);
    readTime(reader, "until", event.until);
    reader.text("requestId", event.requestId.value, maxTextBytes);
    reader.name("service", event.service);
    reader.text("method", event.method, maxTextBytes);
    reader.boolean("idempotent", event.idempotent);
    readEnum(reader, "outcome", outcomeNames, event.outcome);
    readEnum(reader, "response", checkNames, event.response);
    reader.integer("status", event.status, 0U, maxCount);
}

json::object toJson(const AppendEvent &event)
{
    return {{"kind", "append"},
            {"at", toMicroseconds(event.at)},
            {"offset", event.offset.value},
            {"body", event.body}};
}

void read(ObjectReader &reader, AppendEvent &event)
{
    readTime(reader, "at", event.at);
    reader.number("offset", event.offset);
    reader.text("body", event.body, maxTextBytes);
}

template<class EventType>
Event readAs(ObjectReader &reader)
{
    EventType event;
    read(reader, event);
    return event;
}

Event readEvent(ObjectReader &reader)
{
    std::string kind;
    reader.text("kind", kind, maxTextBytes);
    if (kind == "start")
        return readAs<StartEvent>(reader);
    if (kind == "grant")
        return readAs<GrantEvent>(reader);
    if (kind == "run")
        return readAs<RunEvent>(reader);
    if (kind == "call")
        return readAs<CallEvent>(reader);
    if (kind == "append")
        return readAs<AppendEvent>(reader);
    reader.addFault("kind", "unknown kind of event; read it with the version that wrote it");
    return {};
}

} // namespace

std::string encodeEvent(const Event &event)
{
    return json::serialize(std::visit([](const auto &each) { return toJson(each); }, event));
}

records::ValidationResult<Event> decodeEvent(std::string_view line)
{
    Faults faults;
    Event event;
    if (const std::optional<json::value> value = records::parseJson(line, faults)) {
        ObjectReader reader(*value, "", faults);
        event = readEvent(reader);
        reader.rejectUnknownFields();
    }
    if (!faults.empty())
        return faults;
    return event;
}

WallTime timeOf(const Event &event)
{
    return std::visit([](const auto &each) { return each.at; }, event);
}

} // namespace amaranthdale::history
