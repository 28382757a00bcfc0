// Reads and validates single fields.
#include "amaranthdale/records/object_reader.h"

#include "amaranthdale/records/duration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>

namespace amaranthdale::records {

namespace {

namespace json = boost::json;

constexpr std::size_t maxIdentifierLength = 100;
constexpr std::string_view identifierPunctuation = "._-:@";
constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~"; // RFC 9110, section 5.6.2.

std::string_view toView(const json::string &text)
{
    return std::string_view(text.data(), text.size());
}

bool consistsOf(std::string_view text, std::string_view punctuation)
{
    return std::all_of(text.begin(), text.end(), [punctuation](char character) {
        return std::isalnum(static_cast<unsigned char>(character))
                || punctuation.find(character) != std::string_view::npos;
    });
}

bool isToken(std::string_view text)
{
    return !text.empty() && text.size() <= maxIdentifierLength
            && consistsOf(text, tokenPunctuation);
}

bool isNumericAddress(const std::string &address)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, address.c_str(), &buffer) == 1
            || inet_pton(AF_INET6, address.c_str(), &buffer) == 1;
}

std::string rangeMessage(std::string_view min, std::string_view max)
{
    return "out of range; give a value from " + std::string(min) + " to " + std::string(max);
}

} // namespace

core::Error toError(const Faults &faults)
{
    std::string message;
    for (const Fault &fault : faults) {
        message += message.empty() ? "" : "\n";
        message += (fault.path.empty() ? "document" : fault.path) + ": " + fault.message;
    }
    return core::Error{core::ErrorKind::InvalidDocument, std::move(message)};
}

ObjectReader::ObjectReader(const json::value &value, std::string objectPath, Faults &faultList)
    : jsonObject(value.if_object()), path(std::move(objectPath)), faults(&faultList)
{
    if (!this->jsonObject)
        this->faults->push_back(Fault{this->path, "wrong type; give an object"});
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return this->path.empty() ? std::string(name) : this->path + "." + std::string(name);
}

std::string ObjectReader::pathOf(std::string_view name, std::size_t index) const
{
    return this->pathOf(name) + "[" + std::to_string(index) + "]";
}

void ObjectReader::addFault(std::string_view name, std::string message)
{
    this->faults->push_back(Fault{this->pathOf(name), std::move(message)});
}

bool ObjectReader::has(std::string_view name) const
{
    return this->jsonObject
            && this->jsonObject->contains(json::string_view(name.data(), name.size()));
}

const json::value *ObjectReader::find(std::string_view name, Presence presence)
{
    this->knownFields.emplace(name);
    if (!this->jsonObject)
        return nullptr;
    const json::value *value =
            this->jsonObject->if_contains(json::string_view(name.data(), name.size()));
    if (!value && presence == Presence::Required)
        this->addFault(name, "field is missing; add it");
    return value;
}

const json::array *ObjectReader::array(std::string_view name, Presence presence)
{
    const json::value *value = this->find(name, presence);
    if (!value)
        return nullptr;
    if (!value->is_array())
        this->addFault(name, "wrong type; give a list");
    return value->if_array();
}

const json::string *ObjectReader::string(std::string_view name, Presence presence)
{
    const json::value *value = this->find(name, presence);
    if (!value)
        return nullptr;
    if (!value->is_string())
        this->addFault(name, "wrong type; give a string in quotation marks");
    return value->if_string();
}

void ObjectReader::unsignedNumber(std::string_view name, std::uint64_t &target, std::uint64_t min,
                                  std::uint64_t max, Presence presence)
{
    const json::value *value = this->find(name, presence);
    if (!value)
        return;
    if (!value->is_int64() && !value->is_uint64())
        return this->addFault(name, "wrong type; give an integer");
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number < min || number > max)
        return this->addFault(name, rangeMessage(std::to_string(min), std::to_string(max)));
    target = number;
}

void ObjectReader::fraction(std::string_view name, double &target, double above, double below,
                            Presence presence)
{
    const json::value *value = this->find(name, presence);
    if (!value)
        return;
    if (!value->is_number())
        return this->addFault(name, "wrong type; give a number");
    const double number = value->to_number<double>();
    if (!(number > above && number < below))
        return this->addFault(name,
                              "out of range; give a value above " + std::to_string(above)
                                      + " and below " + std::to_string(below));
    target = number;
}

void ObjectReader::boolean(std::string_view name, bool &target, Presence presence)
{
    const json::value *value = this->find(name, presence);
    if (!value)
        return;
    if (!value->is_bool())
        return this->addFault(name, "wrong type; give true or false");
    target = value->get_bool();
}

void ObjectReader::text(std::string_view name, std::string &target, std::size_t maxBytes,
                        Presence presence)
{
    const json::string *value = this->string(name, presence);
    if (!value)
        return;
    if (value->size() > maxBytes)
        return this->addFault(name,
                              "too long; give at most " + std::to_string(maxBytes) + " bytes");
    target = toView(*value);
}

void ObjectReader::identifier(std::string_view name, std::string &target, Presence presence)
{
    const json::string *value = this->string(name, presence);
    if (!value)
        return;
    const bool validLength = !value->empty() && value->size() <= maxIdentifierLength;
    if (!validLength || !consistsOf(toView(*value), identifierPunctuation))
        return this->addFault(name, "invalid name; give 1 to 100 letters, digits or . _ - : @");
    target = toView(*value);
}

void ObjectReader::token(std::string_view name, std::string &target, Presence presence)
{
    const json::string *value = this->string(name, presence);
    if (!value)
        return;
    if (!isToken(toView(*value)))
        return this->addFault(name, "invalid header name; give letters, digits or -");
    target = toView(*value);
}

void ObjectReader::tokens(std::string_view name, std::vector<std::string> &target,
                          Presence presence)
{
    const json::array *list = this->array(name, presence);
    if (!list)
        return;
    std::vector<std::string> result;
    for (std::size_t index = 0; index < list->size(); ++index) {
        const json::string *value = (*list)[index].if_string();
        if (!value || !isToken(toView(*value))) {
            this->faults->push_back(
                    Fault{this->pathOf(name, index), "invalid method; give one such as \"GET\""});
            continue;
        }
        if (std::find(result.begin(), result.end(), toView(*value)) != result.end())
            this->faults->push_back(
                    Fault{this->pathOf(name, index), "duplicate entry; remove all but one"});
        result.emplace_back(toView(*value));
    }
    target = std::move(result);
}

void ObjectReader::duration(std::string_view name, core::Duration &target, core::Duration min,
                            core::Duration max, Presence presence)
{
    const json::string *value = this->string(name, presence);
    if (!value)
        return;
    const auto parsed = core::attempt([&] { return parseDuration(toView(*value)); });
    if (!parsed)
        return this->addFault(name, parsed.error().message);
    if (*parsed < min || *parsed > max)
        return this->addFault(name, rangeMessage(formatDuration(min), formatDuration(max)));
    target = *parsed;
}

void ObjectReader::endpoint(std::string_view name, core::Endpoint &target, std::uint16_t minPort,
                            Presence presence)
{
    const json::string *value = this->string(name, presence);
    if (!value)
        return;
    const auto parsed = core::attempt([&] { return core::parseEndpoint(toView(*value)); });
    if (!parsed)
        return this->addFault(name, parsed.error().message);
    if (!isNumericAddress(parsed->address))
        return this->addFault(name,
                              "'" + parsed->address
                                      + "' is not a numeric IP address; give one such as 10.0.0.1");
    if (parsed->port < minPort)
        return this->addFault(name, "port out of range; give one from 1 to 65535");
    target = *parsed;
}

void ObjectReader::rejectUnknownFields()
{
    if (!this->jsonObject)
        return;
    std::string list;
    for (const std::string &name : this->knownFields)
        list += (list.empty() ? "" : ", ") + name;
    for (const auto &member : *this->jsonObject) {
        const std::string_view name(member.key().data(), member.key().size());
        if (!this->knownFields.contains(name))
            this->addFault(name, "unknown field; remove it or use one of: " + list);
    }
}

} // namespace amaranthdale::records
