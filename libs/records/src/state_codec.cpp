// JSON form of the replayed state.
#include "amaranthdale/records/state_codec.h"

#include "amaranthdale/records/duration.h"
#include "amaranthdale/records/record_codec.h"
#include "json_form.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <limits>

namespace amaranthdale::records {

namespace json = boost::json;
using namespace decisions;
using detail::jsonText;

namespace {

constexpr std::uint64_t stateFormat = 1; // Raised when old programs could misread the form.

struct State
{
    core::LogOffset offset;
    std::map<core::ServiceName, ServiceState> services;
    std::map<core::ServerName, ServerState> servers;
    std::map<core::DataCentreName, DataCentreState> dataCentres;
    std::map<std::uint64_t, CrashBan> crashBans;
};

json::object ownerToJson(const SlotOwner &owner)
{
    json::object result = {{"changedAt", owner.changedAt.value}};
    if (!owner.server.empty())
        result["server"] = jsonText(owner.server.value);
    return result;
}

// Neighbouring slots mostly share owner and offset, so that runs of equal ones are written once.
json::array slotsToJson(const std::vector<SlotOwner> &slots)
{
    json::array runs;
    for (std::size_t first = 0; first < slots.size();) {
        const auto end =
                std::find_if(slots.begin() + static_cast<std::ptrdiff_t>(first), slots.end(),
                             [&](const SlotOwner &each) { return each != slots[first]; });
        const auto past = static_cast<std::size_t>(end - slots.begin());
        json::object run = ownerToJson(slots[first]);
        run["count"] = past - first;
        runs.push_back(std::move(run));
        first = past;
    }
    return runs;
}

json::object serviceToJson(const ServiceState &service)
{
    json::array hotKeys;
    for (const auto &[key, owner] : service.hotKeys) {
        json::object entry = ownerToJson(owner);
        entry["key"] = jsonText(detail::percentEncode(key));
        hotKeys.push_back(std::move(entry));
    }
    return {{"document", detail::toJson(service.document)},
            {"version", service.version.value},
            {"slots", slotsToJson(service.slots)},
            {"hotKeys", std::move(hotKeys)}};
}

json::object serverToJson(const ServerState &server)
{
    json::object result = {{"service", jsonText(server.service.value)},
                           {"spec", detail::toJson(server.spec)},
                           {"removed", server.removed}};
    if (server.controller)
        result["controller"] =
                json::object{{"instance", detail::toJson(server.controller->instance)},
                             {"successors", detail::toJson(server.controller->successors)},
                             {"epoch", server.controller->epoch.value},
                             {"abandonedAt", server.controller->abandonedAt.value}};
    return result;
}

json::object dataCentreToJson(const core::DataCentreName &name, const DataCentreState &state)
{
    return {{"name", jsonText(name.value)},
            {"drained", state.drained},
            {"changedAt", state.changedAt.value}};
}

json::object crashBanToJson(std::uint64_t fingerprint, const CrashBan &ban)
{
    return {{"fingerprint", fingerprint},
            {"since", ban.since.value},
            {"ban", jsonText(formatDuration(ban.ban))}};
}

template<class Number>
void readOffset(ObjectReader &reader, std::string_view name, Number &target,
                const core::LogOffset &latest)
{
    reader.integer(name, target.value, std::uint64_t(0), latest.value);
}

void readOwner(ObjectReader &reader, SlotOwner &owner, const State &state)
{
    reader.name("server", owner.server, Presence::Optional);
    readOffset(reader, "changedAt", owner.changedAt, state.offset);
    if (!owner.server.empty() && !state.servers.contains(owner.server))
        reader.fault("server", "not among the servers; write the state anew");
}

void readSlots(ObjectReader &reader, ServiceState &service, const State &state)
{
    const std::size_t expected = service.document.hashSlots;
    reader.objects("slots", Presence::Required, [&](ObjectReader &run) {
        SlotOwner owner;
        readOwner(run, owner, state);
        std::size_t count = 0;
        // The bound keeps a forged count from exhausting memory.
        run.integer("count", count, std::size_t(1), expected - service.slots.size());
        service.slots.insert(service.slots.end(), count, owner);
    });
    if (service.slots.size() != expected)
        reader.fault("slots",
                     "covers " + std::to_string(service.slots.size()) + " slots in place of "
                             + std::to_string(expected) + "; write the state anew");
}

void readService(ObjectReader &reader, State &state)
{
    ServiceState service;
    reader.object("document", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, service.document); });
    readOffset(reader, "version", service.version, state.offset);
    readSlots(reader, service, state);
    reader.objects("hotKeys", Presence::Required, [&](ObjectReader &each) {
        std::string key;
        detail::readBytes(each, "key", key);
        SlotOwner owner;
        readOwner(each, owner, state);
        if (!service.hotKeys.emplace(key, owner).second)
            each.fault("key", "stands twice; write the state anew");
    });
    for (const BackendServer &server : service.document.servers) {
        if (!state.servers.contains(server.name))
            reader.fault("document",
                         "server " + server.name.value
                                 + " is not among the servers; write the state anew");
    }
    const core::ServiceName name = service.document.service;
    if (!state.services.emplace(name, std::move(service)).second)
        reader.fault("document", "service stands twice; write the state anew");
}

void readController(ObjectReader &reader, Controller &controller, const State &state)
{
    reader.object("instance", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, controller.instance); });
    detail::readInstances(reader, "successors", controller.successors);
    readOffset(reader, "epoch", controller.epoch, state.offset);
    readOffset(reader, "abandonedAt", controller.abandonedAt, state.offset);
}

void readServer(ObjectReader &reader, State &state)
{
    ServerState server;
    reader.name("service", server.service);
    reader.object("spec", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, server.spec); });
    reader.flag("removed", server.removed);
    reader.object("controller", Presence::Optional, [&](ObjectReader &each) {
        readController(each, server.controller.emplace(), state);
    });
    const core::ServerName name = server.spec.name;
    if (!state.servers.emplace(name, std::move(server)).second)
        reader.fault("spec", "server stands twice; write the state anew");
}

void readDataCentre(ObjectReader &reader, State &state)
{
    core::DataCentreName name;
    DataCentreState entry;
    reader.name("name", name);
    reader.flag("drained", entry.drained);
    readOffset(reader, "changedAt", entry.changedAt, state.offset);
    if (!state.dataCentres.emplace(name, entry).second)
        reader.fault("name", "stands twice; write the state anew");
}

void readCrashBan(ObjectReader &reader, State &state)
{
    std::uint64_t fingerprint = 0;
    CrashBan ban;
    reader.integer("fingerprint", fingerprint, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max());
    readOffset(reader, "since", ban.since, state.offset);
    reader.duration("ban", ban.ban, core::Duration::zero(), longestBan);
    if (!state.crashBans.emplace(fingerprint, ban).second)
        reader.fault("fingerprint", "stands twice; write the state anew");
}

void readState(ObjectReader &reader, State &state)
{
    std::uint64_t format = 0;
    reader.integer("format", format, stateFormat, stateFormat);
    reader.number("offset", state.offset);
    reader.objects("dataCentres", Presence::Required,
                   [&](ObjectReader &each) { readDataCentre(each, state); });
    reader.objects("servers", Presence::Required,
                   [&](ObjectReader &each) { readServer(each, state); });
    reader.objects("services", Presence::Required,
                   [&](ObjectReader &each) { readService(each, state); });
    reader.objects("crashBans", Presence::Required,
                   [&](ObjectReader &each) { readCrashBan(each, state); });
    reader.finish();
}

} // namespace

std::string encodeState(const ClusterState &state)
{
    json::array services;
    for (const auto &[name, service] : state.services())
        services.push_back(serviceToJson(service));
    json::array servers;
    for (const auto &[name, server] : state.servers())
        servers.push_back(serverToJson(server));
    json::array dataCentres;
    for (const auto &[name, dataCentre] : state.dataCentres())
        dataCentres.push_back(dataCentreToJson(name, dataCentre));
    json::array crashBans;
    for (const auto &[fingerprint, ban] : state.crashBans())
        crashBans.push_back(crashBanToJson(fingerprint, ban));
    return json::serialize(json::object{{"format", stateFormat},
                                        {"offset", state.offset().value},
                                        {"dataCentres", std::move(dataCentres)},
                                        {"servers", std::move(servers)},
                                        {"services", std::move(services)},
                                        {"crashBans", std::move(crashBans)}});
}

Checked<ClusterState> decodeState(std::string_view text)
{
    Faults faults;
    State state;
    if (const std::optional<json::value> value = parseJson(text, faults)) {
        ObjectReader reader(*value, "", faults);
        readState(reader, state);
    }
    if (!faults.empty())
        return faults;
    ClusterState result;
    result.restore(state.offset, std::move(state.services), std::move(state.servers),
                   std::move(state.dataCentres), std::move(state.crashBans));
    return result;
}

std::vector<SnapshotRecord> splitState(core::LogOffset covers, std::string_view encoded,
                                       std::size_t pieceBytes)
{
    std::vector<SnapshotRecord> pieces;
    for (std::size_t begin = 0; begin < encoded.size(); begin += pieceBytes) {
        const auto index = static_cast<std::uint32_t>(pieces.size());
        pieces.push_back(
                SnapshotRecord{covers, index, 0, std::string(encoded.substr(begin, pieceBytes))});
    }
    for (SnapshotRecord &piece : pieces)
        piece.count = static_cast<std::uint32_t>(pieces.size());
    return pieces;
}

Checked<std::string> joinState(std::vector<SnapshotRecord> pieces)
{
    const auto fault = [](std::string message) { return Faults{Fault{"", std::move(message)}}; };
    if (pieces.empty())
        return fault("no piece of the snapshot; read the log from an earlier offset");
    std::sort(pieces.begin(), pieces.end(),
              [](const SnapshotRecord &a, const SnapshotRecord &b) { return a.index < b.index; });
    std::string joined;
    for (std::size_t index = 0; index < pieces.size(); ++index) {
        const SnapshotRecord &piece = pieces[index];
        if (piece.covers != pieces.front().covers || piece.count != pieces.size())
            return fault("pieces are missing or of different snapshots; read the log further");
        if (piece.index != index)
            return fault("piece " + std::to_string(index) + " is missing; read the log further");
        joined += piece.piece;
    }
    return joined;
}

} // namespace amaranthdale::records
