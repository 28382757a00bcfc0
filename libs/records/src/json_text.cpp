// Parses JSON and detects duplicate object fields, which Boost.JSON's own parser silently drops.
#include "amaranthdale/records/object_reader.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>

namespace amaranthdale::records {

namespace {

namespace json = boost::json;

constexpr std::size_t maxNestingDepth = 32;

// Handler for Boost.JSON's SAX parser, whose interface requires these member names.
// NOLINTBEGIN(readability-identifier-naming)
class DuplicateKeyDetector
{
public:
    static constexpr std::size_t max_object_size = std::size_t(-1);
    static constexpr std::size_t max_array_size = std::size_t(-1);
    static constexpr std::size_t max_key_size = std::size_t(-1);
    static constexpr std::size_t max_string_size = std::size_t(-1);

    explicit DuplicateKeyDetector(Faults *list) : faults(list) { }

    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_object_begin(json::error_code &) { return this->open(false); }
    bool on_object_end(std::size_t, json::error_code &) { return this->close(); }
    bool on_array_begin(json::error_code &) { return this->open(true); }
    bool on_array_end(std::size_t, json::error_code &) { return this->close(); }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        this->partialKey.append(part.data(), part.size());
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        this->partialKey.append(part.data(), part.size());
        return this->key(std::exchange(this->partialKey, {}));
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code &) { return this->value(); }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code &) { return this->value(); }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { return this->value(); }
    bool on_double(double, json::string_view, json::error_code &) { return this->value(); }
    bool on_bool(bool, json::error_code &) { return this->value(); }
    bool on_null(json::error_code &) { return this->value(); }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t elements = 0; // Array: number of elements started.
        std::string field;        // Object: current field.
        std::set<std::string> fields;
    };

    bool value()
    {
        if (!this->levels.empty())
            ++this->levels.back().elements;
        return true;
    }

    bool open(bool isArray)
    {
        this->value();
        this->levels.push_back(Level{isArray, 0, {}, {}});
        return true;
    }

    bool close()
    {
        this->levels.pop_back();
        return true;
    }

    bool key(std::string name)
    {
        Level &level = this->levels.back();
        const bool isNew = level.fields.insert(name).second;
        level.field = std::move(name);
        if (!isNew)
            this->faults->push_back(Fault{this->path(), "duplicate field; remove all but one"});
        return true;
    }

    std::string path() const
    {
        std::string result;
        for (const Level &level : this->levels) {
            if (level.isArray)
                result += "[" + std::to_string(level.elements - 1) + "]";
            else
                result += (result.empty() ? "" : ".") + level.field;
        }
        return result;
    }

    Faults *faults;
    std::vector<Level> levels;
    std::string partialKey;
};
// NOLINTEND(readability-identifier-naming)

json::parse_options options()
{
    json::parse_options result;
    result.max_depth = maxNestingDepth;
    return result;
}

} // namespace

std::optional<json::value> parseJson(std::string_view text, Faults &faults)
{
    json::error_code error;
    json::value value =
            json::parse(json::string_view(text.data(), text.size()), error, {}, options());
    if (error) {
        faults.push_back(Fault{"", "invalid JSON: " + error.message() + "; correct the syntax"});
        return std::nullopt;
    }
    json::basic_parser<DuplicateKeyDetector> detector(options(), &faults);
    detector.write_some(false, text.data(), text.size(), error);
    return value;
}

} // namespace amaranthdale::records
