// JSON encoding of the replayed state.
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

// Incremented if older versions could misread the encoding.
constexpr std::uint64_t stateFormatVersion = 1;

struct DecodedState
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

// Run-length encodes the slots, since neighbouring ones mostly have equal owners and offsets.
json::array slotsToJson(const std::vector<SlotOwner> &slots)
{
    json::array runs;
    for (std::size_t first = 0; first < slots.size();) {
        const auto end =
                std::find_if(slots.begin() + static_cast<std::ptrdiff_t>(first), slots.end(),
                             [&](const SlotOwner &each) { return each != slots[first]; });
        const auto endIndex = static_cast<std::size_t>(end - slots.begin());
        json::object run = ownerToJson(slots[first]);
        run["count"] = endIndex - first;
        runs.push_back(std::move(run));
        first = endIndex;
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
                const core::LogOffset &newestOffset)
{
    reader.integer(name, target.value, std::uint64_t(0), newestOffset.value);
}

void readOwner(ObjectReader &reader, SlotOwner &owner, const DecodedState &state)
{
    reader.name("server", owner.server, Presence::Optional);
    readOffset(reader, "changedAt", owner.changedAt, state.offset);
    if (!owner.server.empty() && !state.servers.contains(owner.server))
        reader.addFault("server", "not in the list of servers; encode the state again");
}

void readSlots(ObjectReader &reader, ServiceState &service, const DecodedState &state)
{
    const std::size_t expected = service.document.hashSlots;
    reader.objects("slots", Presence::Required, [&](ObjectReader &run) {
        SlotOwner owner;
        readOwner(run, owner, state);
        std::size_t count = 0;
        // The upper bound prevents a forged count from exhausting memory.
        run.integer("count", count, std::size_t(1), expected - service.slots.size());
        service.slots.insert(service.slots.end(), count, owner);
    });
    if (service.slots.size() != expected)
        reader.addFault("slots",
                        "covers " + std::to_string(service.slots.size()) + " slots instead of "
                                + std::to_string(expected) + "; encode the state again");
}

void readService(ObjectReader &reader, DecodedState &state)
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
            each.addFault("key", "duplicate key; encode the state again");
    });
    for (const BackendServer &server : service.document.servers) {
        if (!state.servers.contains(server.name))
            reader.addFault("document",
                            "server " + server.name.value
                                    + " is not in the list of servers; encode the state again");
    }
    const core::ServiceName name = service.document.service;
    if (!state.services.emplace(name, std::move(service)).second)
        reader.addFault("document", "duplicate service; encode the state again");
}

void readController(ObjectReader &reader, Controller &controller, const DecodedState &state)
{
    reader.object("instance", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, controller.instance); });
    detail::readInstances(reader, "successors", controller.successors);
    readOffset(reader, "epoch", controller.epoch, state.offset);
    readOffset(reader, "abandonedAt", controller.abandonedAt, state.offset);
}

void readServer(ObjectReader &reader, DecodedState &state)
{
    ServerState server;
    reader.name("service", server.service);
    reader.object("spec", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, server.spec); });
    reader.boolean("removed", server.removed);
    reader.object("controller", Presence::Optional, [&](ObjectReader &each) {
        readController(each, server.controller.emplace(), state);
    });
    const core::ServerName name = server.spec.name;
    if (!state.servers.emplace(name, std::move(server)).second)
        reader.addFault("spec", "duplicate server; encode the state again");
}

void readDataCentre(ObjectReader &reader, DecodedState &state)
{
    core::DataCentreName name;
    DataCentreState entry;
    reader.name("name", name);
    reader.boolean("drained", entry.drained);
    readOffset(reader, "changedAt", entry.changedAt, state.offset);
    if (!state.dataCentres.emplace(name, entry).second)
        reader.addFault("name", "duplicate data centre; encode the state again");
}

void readCrashBan(ObjectReader &reader, DecodedState &state)
{
    std::uint64_t fingerprint = 0;
    CrashBan ban;
    reader.integer("fingerprint", fingerprint, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max());
    readOffset(reader, "since", ban.since, state.offset);
    reader.duration("ban", ban.ban, core::Duration::zero(), maxBanDuration);
    if (!state.crashBans.emplace(fingerprint, ban).second)
        reader.addFault("fingerprint", "duplicate fingerprint; encode the state again");
}

void readState(ObjectReader &reader, DecodedState &state)
{
    std::uint64_t format = 0;
    reader.integer("format", format, stateFormatVersion, stateFormatVersion);
    reader.number("offset", state.offset);
    reader.objects("dataCentres", Presence::Required,
                   [&](ObjectReader &each) { readDataCentre(each, state); });
    reader.objects("servers", Presence::Required,
                   [&](ObjectReader &each) { readServer(each, state); });
    reader.objects("services", Presence::Required,
                   [&](ObjectReader &each) { readService(each, state); });
    reader.objects("crashBans", Presence::Required,
                   [&](ObjectReader &each) { readCrashBan(each, state); });
    reader.rejectUnknownFields();
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
    return json::serialize(json::object{{"format", stateFormatVersion},
                                        {"offset", state.offset().value},
                                        {"dataCentres", std::move(dataCentres)},
                                        {"servers", std::move(servers)},
                                        {"services", std::move(services)},
                                        {"crashBans", std::move(crashBans)}});
}

ValidationResult<ClusterState> decodeState(std::string_view text)
{
    Faults faults;
    DecodedState state;
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

ValidationResult<std::string> joinState(std::vector<SnapshotRecord> pieces)
{
    const auto fault = [](std::string message) { return Faults{Fault{"", std::move(message)}}; };
    if (pieces.empty())
        return fault("no pieces of the snapshot; read the log from an earlier offset");
    std::sort(pieces.begin(), pieces.end(),
              [](const SnapshotRecord &a, const SnapshotRecord &b) { return a.index < b.index; });
    std::string joined;
    for (std::size_t index = 0; index < pieces.size(); ++index) {
        const SnapshotRecord &piece = pieces[index];
        if (piece.covers != pieces.front().covers || piece.count != pieces.size())
            return fault(
                    "pieces are missing or belong to different snapshots; read more of the log");
        if (piece.index != index)
            return fault("piece " + std::to_string(index) + " is missing; read more of the log");
        joined += piece.piece;
    }
    return joined;
}

} // namespace amaranthdale::records
