// JSON encoding of log records.
#include "amaranthdale/records/record_codec.h"

#include "amaranthdale/records/duration.h"
#include "json_form.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace amaranthdale::records {

namespace json = boost::json;
using namespace decisions;
using namespace std::chrono_literals;
using detail::jsonText;

namespace {

constexpr std::uint32_t maxSnapshotPieces = 1'000'000;
constexpr core::SlotIndex maxSlot = std::numeric_limits<core::SlotIndex>::max();

// Field names of the alternatives of RecordBody, in order of their index.
constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> bodyNames = {
        "document", "dataCentre", "controller", "slots", "crash", "snapshot"};

// Names of the Release values, in order of their numeric value.
constexpr std::array<std::string_view, 4> releaseNames = {"initial", "acknowledged", "leaseExpired",
                                                          "waitedOut"};

json::object bodyToJson(const DocumentRecord &body)
{
    return detail::toJson(body.document);
}

json::object bodyToJson(const DataCentreRecord &body)
{
    return {{"dataCentre", jsonText(body.dataCentre.value)}, {"drained", body.drained}};
}

json::object bodyToJson(const ControllerRecord &body)
{
    return {{"server", jsonText(body.server.value)},
            {"controller", detail::toJson(body.controller)},
            {"successors", detail::toJson(body.successors)},
            {"abandoned", body.abandoned}};
}

json::object moveToJson(const SlotMove &move)
{
    json::array slots;
    for (const core::SlotIndex slot : move.slots)
        slots.push_back(slot);
    json::array keys;
    for (const std::string &key : move.hotKeys)
        keys.push_back(jsonText(detail::percentEncode(key)));
    return {{"to", jsonText(move.to.value)}, {"slots", slots}, {"hotKeys", keys}};
}

json::object bodyToJson(const SlotRecord &body)
{
    json::array moves;
    for (const SlotMove &move : body.moves)
        moves.push_back(moveToJson(move));
    json::object result = {
            {"service", jsonText(body.service.value)},
            {"fromEpoch", body.fromEpoch.value},
            {"release", jsonText(releaseNames[static_cast<std::size_t>(body.release)])},
            {"moves", moves}};
    if (!body.from.empty())
        result["from"] = jsonText(body.from.value);
    return result;
}

json::object bodyToJson(const CrashRecord &body)
{
    return {{"fingerprint", body.fingerprint}, {"ban", jsonText(formatDuration(body.ban))}};
}

json::object bodyToJson(const SnapshotRecord &body)
{
    return {{"covers", body.covers.value},
            {"index", body.index},
            {"count", body.count},
            {"piece", jsonText(detail::percentEncode(body.piece))}};
}

void readBody(ObjectReader &reader, DocumentRecord &body)
{
    detail::read(reader, body.document);
}

void readBody(ObjectReader &reader, DataCentreRecord &body)
{
    reader.name("dataCentre", body.dataCentre);
    reader.boolean("drained", body.drained);
}

void readBody(ObjectReader &reader, ControllerRecord &body)
{
    reader.name("server", body.server);
    reader.object("controller", Presence::Required,
                  [&](ObjectReader &each) { detail::read(each, body.controller); });
    detail::readInstances(reader, "successors", body.successors);
    reader.boolean("abandoned", body.abandoned);
}

void readSlots(ObjectReader &reader, std::vector<core::SlotIndex> &slots)
{
    const json::array *list = reader.array("slots", Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        json::error_code error;
        const json::value &value = (*list)[index];
        const auto slot = value.is_double() ? 0 : value.to_number<core::SlotIndex>(error);
        if (error || value.is_double())
            reader.addFault("slots[" + std::to_string(index) + "]",
                            "invalid slot; give an integer from 0 to " + std::to_string(maxSlot));
        else
            slots.push_back(slot);
    }
}

void readHotKeys(ObjectReader &reader, std::vector<std::string> &keys)
{
    const json::array *list = reader.array("hotKeys", Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json::string *text = (*list)[index].if_string();
        std::optional<std::string> key;
        if (text)
            key = detail::percentDecode(std::string_view(text->data(), text->size()));
        if (key)
            keys.push_back(std::move(*key));
        else
            reader.addFault("hotKeys[" + std::to_string(index) + "]",
                            "invalid key; give percent-encoded text");
    }
}

void readBody(ObjectReader &reader, SlotRecord &body)
{
    reader.name("service", body.service);
    reader.name("from", body.from, Presence::Optional);
    reader.number("fromEpoch", body.fromEpoch);
    std::string release;
    reader.text("release", release, 100);
    const auto found = std::find(releaseNames.begin(), releaseNames.end(), release);
    if (found == releaseNames.end())
        reader.addFault("release",
                        "unknown; give initial, acknowledged, leaseExpired or waitedOut");
    else
        body.release = static_cast<ReassignmentReason>(found - releaseNames.begin());
    reader.objects("moves", Presence::Required, [&](ObjectReader &each) {
        SlotMove &move = body.moves.emplace_back();
        each.name("to", move.to);
        readSlots(each, move.slots);
        readHotKeys(each, move.hotKeys);
    });
}

void readBody(ObjectReader &reader, CrashRecord &body)
{
    reader.integer("fingerprint", body.fingerprint, std::uint64_t(0),
                   std::numeric_limits<std::uint64_t>::max());
    reader.duration("ban", body.ban, core::Duration::zero(), maxBanDuration);
}

void readBody(ObjectReader &reader, SnapshotRecord &body)
{
    reader.number("covers", body.covers);
    reader.integer("count", body.count, 1U, maxSnapshotPieces);
    reader.integer("index", body.index, 0U, body.count - 1);
    detail::readBytes(reader, "piece", body.piece);
}

template<class Body>
void readAlternative(ObjectReader &reader, std::string_view name, RecordBody &target)
{
    reader.object(name, Presence::Required, [&target](ObjectReader &each) {
        Body body;
        readBody(each, body);
        target = std::move(body);
    });
}

void readRecordBody(ObjectReader &reader, RecordBody &target)
{
    std::vector<std::string_view> present;
    for (const std::string_view name : bodyNames) {
        if (reader.has(name))
            present.push_back(name);
    }
    if (present.size() != 1)
        return reader.addFault("",
                               "has " + std::to_string(present.size())
                                       + " bodies; give exactly one of document, dataCentre, "
                                         "controller, slots, crash or snapshot");
    const auto name = present.front();
    if (name == "document")
        readAlternative<DocumentRecord>(reader, name, target);
    else if (name == "dataCentre")
        readAlternative<DataCentreRecord>(reader, name, target);
    else if (name == "controller")
        readAlternative<ControllerRecord>(reader, name, target);
    else if (name == "slots")
        readAlternative<SlotRecord>(reader, name, target);
    else if (name == "crash")
        readAlternative<CrashRecord>(reader, name, target);
    else
        readAlternative<SnapshotRecord>(reader, name, target);
}

} // namespace

std::string encodeRecord(const LogRecord &record)
{
    json::object result = {{"proposer", detail::toJson(record.id.proposer)},
                           {"sequence", record.id.sequence},
                           {"basedOn", record.basedOn.value}};
    const std::string_view name = bodyNames[record.body.index()];
    result[json::string_view(name.data(), name.size())] =
            std::visit([](const auto &body) { return bodyToJson(body); }, record.body);
    return json::serialize(result);
}

ValidationResult<LogRecord> decodeRecord(std::string_view text)
{
    Faults faults;
    LogRecord record;
    if (const std::optional<json::value> value = parseJson(text, faults)) {
        ObjectReader reader(*value, "", faults);
        reader.object("proposer", Presence::Required,
                      [&](ObjectReader &each) { detail::read(each, record.id.proposer); });
        reader.integer("sequence", record.id.sequence, std::uint64_t(0),
                       std::numeric_limits<std::uint64_t>::max());
        reader.number("basedOn", record.basedOn);
        readRecordBody(reader, record.body);
        reader.rejectUnknownFields();
    }
    if (!faults.empty())
        return faults;
    return record;
}

} // namespace amaranthdale::records
