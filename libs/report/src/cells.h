// Column descriptors, which convert between the members of a row and cells.
#pragma once

#include "names.h"

#include <functional>
#include <string>
#include <type_traits>
#include <variant>

namespace amaranthdale::report {

/// A value of a table, independent of the output format.
using Cell = std::variant<std::string, std::uint64_t, double, core::Duration>;

/// Converts a member of type `Value` to a cell and back. `write` returns false if the cell can't be
/// converted.
template<class Value>
struct CellCodec
{
    static Cell read(const Value &value) { return value; }

    static bool write(Value &value, const Cell &cell)
    {
        const Value *content = std::get_if<Value>(&cell);
        if (content)
            value = *content;
        return content != nullptr;
    }
};

template<class Tag>
struct CellCodec<core::detail::Name<Tag>>
{
    static Cell read(const core::detail::Name<Tag> &name) { return name.value; }

    static bool write(core::detail::Name<Tag> &name, const Cell &cell)
    {
        return CellCodec<std::string>::write(name.value, cell);
    }
};

template<class Tag>
struct CellCodec<core::detail::Number<Tag>>
{
    static Cell read(const core::detail::Number<Tag> &number) { return number.value; }

    static bool write(core::detail::Number<Tag> &number, const Cell &cell)
    {
        return CellCodec<std::uint64_t>::write(number.value, cell);
    }
};

template<class Enum>
requires std::is_enum_v<Enum>
struct CellCodec<Enum>
{
    static Cell read(const Enum &value) { return std::string(enumName(value)); }

    static bool write(Enum &value, const Cell &cell)
    {
        const std::string *name = std::get_if<std::string>(&cell);
        const std::optional<Enum> found = name ? parseEnum<Enum>(*name) : std::nullopt;
        if (found)
            value = *found;
        return found.has_value();
    }
};

/// A column of a table with rows of type `Row`.
template<class Row>
struct Column
{
    std::string name;
    Cell example; ///< A default cell, which determines the column's type.
    std::function<Cell(const Row &)> read;
    std::function<bool(Row &, const Cell &)> write;
};

template<class Row, class Value>
Column<Row> column(std::string name, Value Row::*member)
{
    return Column<Row>{std::move(name), CellCodec<Value>::read(Value{}),
                       [member](const Row &row) { return CellCodec<Value>::read(row.*member); },
                       [member](Row &row, const Cell &cell) {
                           return CellCodec<Value>::write(row.*member, cell);
                       }};
}

/// A table of a report part.
template<class Row>
struct Table
{
    std::string name;
    std::vector<Row> ReportPart::*rows;
    std::vector<Column<Row>> columns;
};

} // namespace amaranthdale::report
