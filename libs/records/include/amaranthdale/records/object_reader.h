// Reads JSON objects field by field and collects every fault instead of stopping at the first.
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

/// Parses `text` as one JSON value. Adds a fault for bad syntax, for nesting deeper than 32 levels
/// and for each field that an object has twice; returns nothing when the syntax is bad.
std::optional<boost::json::value> parseJson(std::string_view text, Faults &faults);

enum class Presence { Required, Optional };

/// Reader of one JSON object. Each method reads one field: it assigns the target when the field is
/// valid, else leaves it alone and adds a fault. A field that no method has named is unknown.
class ObjectReader
{
public:
    /// `value` and `faults` must outlive the reader. A value that is no object is one fault.
    ObjectReader(const boost::json::value &value, std::string path, Faults &faults);

    /// A whole number from `least` to `most`, both included.
    template<class Integer>
    void integer(std::string_view name, Integer &target, Integer least, Integer most,
                 Presence presence = Presence::Required)
    {
        static_assert(std::is_unsigned_v<Integer>);
        std::uint64_t number = target;
        this->unsignedNumber(name, number, least, most, presence);
        target = static_cast<Integer>(number);
    }

    /// A count of one of the kinds in core/types.h.
    template<class Tag>
    void number(std::string_view name, core::detail::Number<Tag> &target,
                Presence presence = Presence::Required)
    {
        this->integer(name, target.value, std::uint64_t(0),
                      std::numeric_limits<std::uint64_t>::max(), presence);
    }

    /// A name of 1 to 100 letters, digits and `. _ - : @`.
    template<class Tag>
    void name(std::string_view field, core::detail::Name<Tag> &target,
              Presence presence = Presence::Required)
    {
        this->identifier(field, target.value, presence);
    }

    /// A number above `above` and below `below`.
    void share(std::string_view name, double &target, double above, double below,
               Presence presence = Presence::Required);

    void flag(std::string_view name, bool &target, Presence presence = Presence::Required);

    /// Text of at most `most` bytes.
    void text(std::string_view name, std::string &target, std::size_t most,
              Presence presence = Presence::Required);

    void identifier(std::string_view name, std::string &target,
                    Presence presence = Presence::Required);

    /// A list of distinct names of HTTP tokens, such as methods.
    void tokens(std::string_view name, std::vector<std::string> &target,
                Presence presence = Presence::Required);

    /// A header name.
    void token(std::string_view name, std::string &target, Presence presence = Presence::Required);

    /// A duration with its unit, from `least` to `most`.
    void duration(std::string_view name, core::Duration &target, core::Duration least,
                  core::Duration most, Presence presence = Presence::Required);

    /// "address:port" with a numeric address. Port 0 is refused when `leastPort` is 1.
    void endpoint(std::string_view name, core::Endpoint &target, std::uint16_t leastPort = 1,
                  Presence presence = Presence::Required);

    /// Calls `read` with a reader of the object in the field, then checks for unknown fields.
    template<class Function>
    void object(std::string_view name, Presence presence, Function &&read)
    {
        if (const boost::json::value *value = this->take(name, presence)) {
            ObjectReader reader(*value, this->pathOf(name), *this->faults);
            read(reader);
            reader.finish();
        }
    }

    /// Calls `read` with a reader of each object in the list.
    template<class Function>
    void objects(std::string_view name, Presence presence, Function &&read)
    {
        const boost::json::array *list = this->array(name, presence);
        for (std::size_t index = 0; list && index < list->size(); ++index) {
            ObjectReader reader((*list)[index], this->pathOf(name, index), *this->faults);
            read(reader);
            reader.finish();
        }
    }

    /// The list in the field; null when it is absent or no list.
    const boost::json::array *array(std::string_view name, Presence presence);

    /// The value in the field, of any type; null when it is absent.
    const boost::json::value *take(std::string_view name, Presence presence);

    /// True when the object has the field.
    bool has(std::string_view name) const;

    /// Adds a fault at a field, for rules that involve several fields.
    void fault(std::string_view name, std::string message);

    std::string pathOf(std::string_view name) const;
    std::string pathOf(std::string_view name, std::size_t index) const;

    /// Adds a fault for each field that no method has named.
    void finish();

private:
    void unsignedNumber(std::string_view name, std::uint64_t &target, std::uint64_t least,
                        std::uint64_t most, Presence presence);
    const boost::json::string *string(std::string_view name, Presence presence);

    const boost::json::object *source = nullptr; // Null when the value is no object.
    std::string path;
    Faults *faults;
    std::set<std::string, std::less<>> known; // Fields that a method has named.
};

} // namespace amaranthdale::records
