// JSON encoding of the responses of the operators' port.
#include "amaranthdale/report/operator_views.h"

#include "amaranthdale/records/object_reader.h"

#include <boost/json.hpp>

#include <limits>

namespace amaranthdale::report {

namespace json = boost::json;
using records::Faults;
using records::ObjectReader;
using records::Presence;

namespace {

constexpr std::size_t maxReasonBytes = 1000;
constexpr std::size_t maxNameBytes = 100;

json::string toJsonString(const std::string &text)
{
    return json::string(text);
}

// Reads a name that is empty if there is no owner or controller.
template<class Name>
void optionalName(ObjectReader &reader, std::string_view field, Name &name)
{
    reader.text(field, name.value, maxNameBytes);
}

template<class Read>
void readStrings(ObjectReader &reader, std::string_view field, Read &&read)
{
    const json::array *list = reader.array(field, Presence::Required);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const json::value &value = (*list)[index];
        if (value.is_string() && value.as_string().size() <= maxReasonBytes)
            read(std::string(value.as_string()));
        else
            reader.addFault(field,
                            "has an entry that is not a string or too long; ask an instance of the "
                            "same version");
    }
}

void readExplanation(ObjectReader &reader, Explanation &explanation)
{
    reader.number("offset", explanation.offset);
    reader.name("service", explanation.service);
    reader.integer("slot", explanation.slot, core::SlotIndex(0),
                   std::numeric_limits<core::SlotIndex>::max());
    reader.boolean("hotKey", explanation.hotKey);
    optionalName(reader, "server", explanation.server);
    reader.number("since", explanation.since);
    optionalName(reader, "dataCentre", explanation.dataCentre);
    optionalName(reader, "controller", explanation.controller);
    reader.number("epoch", explanation.epoch);
    readStrings(reader, "successors",
                [&](std::string text) { explanation.successors.emplace_back(std::move(text)); });
    readStrings(reader, "reasons",
                [&](std::string text) { explanation.reasons.push_back(std::move(text)); });
}

void readInstance(ObjectReader &reader, InstanceView &instance)
{
    constexpr auto maxAgeMs = static_cast<std::uint64_t>(std::numeric_limits<std::int32_t>::max());
    reader.name("name", instance.name);
    optionalName(reader, "dataCentre", instance.dataCentre);
    reader.boolean("leaving", instance.leaving);
    if (!reader.has("offset"))
        return;
    HeartbeatOffset heard;
    std::uint64_t age = 0;
    reader.number("offset", heard.offset);
    reader.integer("ageMs", age, std::uint64_t(0), maxAgeMs);
    heard.age = std::chrono::milliseconds(age);
    instance.lastHeartbeat = heard;
}

template<class Value, class Read>
records::ValidationResult<Value> decode(std::string_view text, Read &&read)
{
    Faults faults;
    Value value;
    if (const auto parsed = records::parseJson(text, faults)) {
        ObjectReader reader(*parsed, "", faults);
        read(reader, value);
        reader.rejectUnknownFields();
    }
    if (!faults.empty())
        return faults;
    return value;
}

} // namespace

std::string encodeInstances(const std::vector<InstanceView> &instances)
{
    json::array list;
    for (const InstanceView &instance : instances) {
        json::object row = {{"name", toJsonString(instance.name.value)},
                            {"dataCentre", toJsonString(instance.dataCentre.value)},
                            {"leaving", instance.leaving}};
        if (instance.lastHeartbeat) {
            row["offset"] = instance.lastHeartbeat->offset.value;
            row["ageMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                                   instance.lastHeartbeat->age)
                                   .count();
        }
        list.push_back(std::move(row));
    }
    return json::serialize(json::object{{"instances", std::move(list)}});
}

records::ValidationResult<std::vector<InstanceView>> decodeInstances(std::string_view text)
{
    using Instances = std::vector<InstanceView>;
    return decode<Instances>(text, [](ObjectReader &reader, Instances &instances) {
        reader.objects("instances", Presence::Required,
                       [&](ObjectReader &each) { readInstance(each, instances.emplace_back()); });
    });
}

std::string encodeExplanation(const Explanation &explanation)
{
    json::array successors;
    for (const core::InstanceName &successor : explanation.successors)
        successors.push_back(toJsonString(successor.value));
    json::array reasons;
    for (const std::string &reason : explanation.reasons)
        reasons.push_back(toJsonString(reason));
    return json::serialize(json::object{{"offset", explanation.offset.value},
                                        {"service", toJsonString(explanation.service.value)},
                                        {"slot", explanation.slot},
                                        {"hotKey", explanation.hotKey},
                                        {"server", toJsonString(explanation.server.value)},
                                        {"since", explanation.since.value},
                                        {"dataCentre", toJsonString(explanation.dataCentre.value)},
                                        {"controller", toJsonString(explanation.controller.value)},
                                        {"epoch", explanation.epoch.value},
                                        {"successors", std::move(successors)},
                                        {"reasons", std::move(reasons)}});
}

records::ValidationResult<Explanation> decodeExplanation(std::string_view text)
{
    return decode<Explanation>(text, readExplanation);
}

} // namespace amaranthdale::report
