// Reads JSON objects field by field and collects all faults instead of stopping at the first.
#pragma once

#include "amaranthdale/core/message.h"
#include "amaranthdale/records/fault.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::records {

/// Parses `text` as one JSON value. Adds a fault for invalid syntax, for nesting deeper than 32
/// levels and for each duplicate field of an object. Returns nullopt for the first two.
std::optional<boost::json::value> parseJson(std::string_view text, Faults &faults);

enum class Presence { Required, Optional };

/// Reads the fields of one JSON object. Each method reads one field: if the field is valid, it
/// assigns the target, else it leaves the target unchanged and adds a fault. Fields that no method
/// was called for are unknown.
class ObjectReader
{
public:
    /// `value` and `faults` must outlive the reader. Adds a fault if `value` is not an object.
    ObjectReader(const boost::json::value &value, std::string path, Faults &faults);

    /// An integer in the closed range from `min` to `max`.
    template<class Integer>
    void integer(std::string_view name, Integer &target, Integer min, Integer max,
                 Presence presence = Presence::Required)
    {
        static_assert(std::is_unsigned_v<Integer>);
        std::uint64_t number = target;
        this->unsignedNumber(name, number, min, max, presence);
        target = static_cast<Integer>(number);
    }

    /// One of the number types of core/types.h.
    template<class Tag>
    void number(std::string_view name, core::detail::Number<Tag> &target,
                Presence presence = Presence::Required)
    {
        this->integer(name, target.value, std::uint64_t(0),
                      std::numeric_limits<std::uint64_t>::max(), presence);
    }

    /// A name of 1 to 100 characters: letters, digits and `. _ - : @`.
    template<class Tag>
    void name(std::string_view field, core::detail::Name<Tag> &target,
              Presence presence = Presence::Required)
    {
        this->identifier(field, target.value, presence);
    }

    /// A number in the open interval from `above` to `below`.
    void fraction(std::string_view name, double &target, double above, double below,
                  Presence presence = Presence::Required);

    void boolean(std::string_view name, bool &target, Presence presence = Presence::Required);

    /// A string of at most `maxBytes` bytes.
    void text(std::string_view name, std::string &target, std::size_t maxBytes,
              Presence presence = Presence::Required);

    void identifier(std::string_view name, std::string &target,
                    Presence presence = Presence::Required);

    /// An array of distinct HTTP tokens, such as methods.
    void tokens(std::string_view name, std::vector<std::string> &target,
                Presence presence = Presence::Required);

    /// A header name.
    void token(std::string_view name, std::string &target, Presence presence = Presence::Required);

    /// A duration with unit in the closed range from `min` to `max`.
    void duration(std::string_view name, core::Duration &target, core::Duration min,
                  core::Duration max, Presence presence = Presence::Required);

    /// "address:port" with a numeric IP address. Port 0 is allowed only if `minPort` is 0.
    void endpoint(std::string_view name, core::Endpoint &target, std::uint16_t minPort = 1,
                  Presence presence = Presence::Required);

    /// Calls `read` with a reader of the nested object, then reports its unknown fields.
    template<class Function>
    void object(std::string_view name, Presence presence, Function &&read)
    {
        if (const boost::json::value *value = this->find(name, presence)) {
            ObjectReader reader(*value, this->pathOf(name), *this->faults);
            read(reader);
            reader.rejectUnknownFields();
        }
    }

    /// Calls `read` with a reader of each object in the array, then reports its unknown fields.
    template<class Function>
    void objects(std::string_view name, Presence presence, Function &&read)
    {
        const boost::json::array *list = this->array(name, presence);
        for (std::size_t index = 0; list && index < list->size(); ++index) {
            ObjectReader reader((*list)[index], this->pathOf(name, index), *this->faults);
            read(reader);
            reader.rejectUnknownFields();
        }
    }

    /// The array in the field; null if the field is absent or not an array.
    const boost::json::array *array(std::string_view name, Presence presence);

    /// The value of the field, of any type; null if the field is absent.
    const boost::json::value *find(std::string_view name, Presence presence);

    /// True if the object has the field.
    bool has(std::string_view name) const;

    /// Adds a fault for a field, for example if a rule across several fields is violated.
    void addFault(std::string_view name, std::string message);

    std::string pathOf(std::string_view name) const;
    std::string pathOf(std::string_view name, std::size_t index) const;

    /// Adds a fault for each unknown field.
    void rejectUnknownFields();

private:
    void unsignedNumber(std::string_view name, std::uint64_t &target, std::uint64_t min,
                        std::uint64_t max, Presence presence);
    const boost::json::string *string(std::string_view name, Presence presence);

    const boost::json::object *jsonObject = nullptr; // Null if the value is not an object.
    std::string path;
    Faults *faults;
    std::set<std::string, std::less<>> knownFields; // Fields that a method was called for.
};

} // namespace amaranthdale::records
