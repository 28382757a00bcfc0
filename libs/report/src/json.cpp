// JSON encoding and decoding of a report.
#include "columns.h"

#include <boost/json.hpp>

#include <cstdio>
#include <cstdlib>

namespace amaranthdale::report {

namespace json = boost::json;

namespace {

// Durations are encoded losslessly as integer nanoseconds; the suffix states the unit.
constexpr std::string_view durationSuffix = "Ns";

std::string memberName(const std::string &name, const Cell &cell)
{
    if (std::holds_alternative<core::Duration>(cell))
        return name + std::string(durationSuffix);
    return name;
}

// The parser of Boost.JSON 1.81 can lose the last bits of a double. Both encoder and decoder round,
// so that decoding and encoding a report again yields the same text.
double rounded(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", number);
    return std::strtod(text, nullptr);
}

json::value toJson(const Cell &cell)
{
    if (const auto *text = std::get_if<std::string>(&cell))
        return json::string(*text);
    if (const auto *duration = std::get_if<core::Duration>(&cell))
        return duration->count();
    if (const auto *count = std::get_if<std::uint64_t>(&cell))
        return *count;
    return rounded(std::get<double>(cell));
}

// Returns a cell of the same type as `example`, or nothing if `value` is of another type.
std::optional<Cell> fromJson(const json::value &value, const Cell &example)
{
    boost::system::error_code error;
    if (std::holds_alternative<std::string>(example)) {
        if (!value.is_string())
            return std::nullopt;
        return std::string(value.as_string());
    }
    if (!value.is_number())
        return std::nullopt;
    if (std::holds_alternative<double>(example))
        return rounded(value.to_number<double>(error));
    if (std::holds_alternative<std::uint64_t>(example)) {
        const auto number = value.to_number<std::uint64_t>(error);
        return error.failed() ? std::nullopt : std::optional<Cell>(number);
    }
    const auto count = value.to_number<std::int64_t>(error);
    return error.failed() ? std::nullopt : std::optional<Cell>(core::Duration(count));
}

template<class Row>
json::object rowToJson(const std::vector<Column<Row>> &columns, const Row &row)
{
    json::object object;
    for (const Column<Row> &column : columns)
        object[memberName(column.name, column.example)] = toJson(column.read(row));
    return object;
}

core::Result<const json::array *> arrayAt(const json::object &object, const std::string &name,
                                          const std::string &path)
{
    const json::value *member = object.if_contains(name);
    if (!member || !member->is_array())
        return core::fail(core::ErrorKind::InvalidDocument,
                          path + "." + name + " is not an array; expected a report of an instance");
    return &member->as_array();
}

template<class Row>
core::Result<void> readRow(Row &row, const std::vector<Column<Row>> &columns,
                           const json::value &value, const std::string &path)
{
    if (!value.is_object())
        return core::fail(core::ErrorKind::InvalidDocument,
                          path + " is not an object; expected a report of an instance");
    for (const Column<Row> &column : columns) {
        const std::string name = memberName(column.name, column.example);
        const json::value *member = value.as_object().if_contains(name);
        const std::optional<Cell> cell = member ? fromJson(*member, column.example) : std::nullopt;
        if (!cell || !column.write(row, *cell))
            return core::fail(core::ErrorKind::InvalidDocument,
                              path + "." + name
                                      + " is missing or has the wrong type; expected a report of "
                                        "an instance");
    }
    return {};
}

template<class Row>
core::Result<void> readTable(ReportPart &part, const Table<Row> &table, const json::object &object,
                             const std::string &path)
{
    BOOST_LEAF_AUTO(array, arrayAt(object, table.name, path));
    std::vector<Row> &rows = part.*table.rows;
    for (std::size_t index = 0; index < array->size(); ++index) {
        rows.emplace_back();
        const std::string rowPath = path + "." + table.name + "[" + std::to_string(index) + "]";
        BOOST_LEAF_CHECK(readRow(rows.back(), table.columns, (*array)[index], rowPath));
    }
    return {};
}

core::Result<ReportPart> readPart(const json::value &value, const std::string &path)
{
    ReportPart part;
    BOOST_LEAF_CHECK(readRow(part, partColumns(), value, path));
    core::Result<void> tables;
    forEachTable([&](const auto &table) {
        if (tables)
            tables = readTable(part, table, value.as_object(), path);
    });
    if (!tables)
        return tables.error();
    return part;
}

} // namespace

std::string encodeReport(const Report &report)
{
    json::array parts;
    for (const ReportPart &part : report.parts) {
        json::object object = rowToJson(partColumns(), part);
        forEachTable([&](const auto &table) {
            json::array rows;
            for (const auto &row : part.*table.rows)
                rows.push_back(rowToJson(table.columns, row));
            object[table.name] = std::move(rows);
        });
        parts.push_back(std::move(object));
    }
    return json::serialize(json::object{{"parts", std::move(parts)}});
}

core::Result<Report> decodeReport(std::string_view text)
{
    boost::system::error_code error;
    const json::value document = json::parse({text.data(), text.size()}, error);
    if (error.failed() || !document.is_object())
        return core::fail(core::ErrorKind::InvalidDocument,
                          "the report is not a JSON object; expected a report of an instance");
    BOOST_LEAF_AUTO(parts, arrayAt(document.as_object(), "parts", "$"));
    Report report;
    for (std::size_t index = 0; index < parts->size(); ++index) {
        BOOST_LEAF_AUTO(part, readPart((*parts)[index], "$.parts[" + std::to_string(index) + "]"));
        report.parts.push_back(std::move(part));
    }
    return report;
}

} // namespace amaranthdale::report
