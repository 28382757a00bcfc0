// Text and CSV output of a report.
#include "columns.h"

#include <cmath>
#include <cstdio>

namespace amaranthdale::report {

namespace {

using Line = std::vector<std::string>;

// Text and CSV show durations in milliseconds, marked by the suffix of the title.
std::string columnTitle(const std::string &name, const Cell &cell)
{
    return std::holds_alternative<core::Duration>(cell) ? name + "Ms" : name;
}

std::string formatNumber(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.6g", number);
    return text;
}

std::string formatCell(const Cell &cell)
{
    if (const auto *text = std::get_if<std::string>(&cell))
        return *text;
    if (const auto *count = std::get_if<std::uint64_t>(&cell))
        return std::to_string(*count);
    if (const auto *number = std::get_if<double>(&cell))
        return formatNumber(*number);
    const auto duration = std::get<core::Duration>(cell);
    return formatNumber(std::chrono::duration<double, std::milli>(duration).count());
}

template<class Row>
Line titleLine(const std::vector<Column<Row>> &columns)
{
    Line line;
    for (const Column<Row> &column : columns)
        line.push_back(columnTitle(column.name, column.example));
    return line;
}

template<class Row>
Line cellLine(const std::vector<Column<Row>> &columns, const Row &row)
{
    Line line;
    for (const Column<Row> &column : columns)
        line.push_back(formatCell(column.read(row)));
    return line;
}

// Names come from documents; a control character in one could move the operator's cursor.
std::string printable(std::string text)
{
    for (char &character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (code < 0x20 || code == 0x7f)
            character = '?';
    }
    return text.empty() ? "-" : text;
}

void appendTextTable(std::string &output, const std::string &name, std::vector<Line> lines)
{
    std::vector<std::size_t> widths(lines.front().size());
    for (Line &line : lines) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            line[index] = printable(std::move(line[index]));
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    output += name + "\n";
    for (const Line &line : lines) {
        std::string row;
        for (std::size_t index = 0; index < line.size(); ++index)
            row += "  " + line[index] + std::string(widths[index] - line[index].size(), ' ');
        row.erase(row.find_last_not_of(' ') + 1);
        output += row + "\n";
    }
    output += "\n";
}

template<class Row>
void appendTextTable(std::string &output, const std::string &name,
                     const std::vector<Column<Row>> &columns, const std::vector<Row> &rows)
{
    if (rows.empty())
        return;
    std::vector<Line> lines{titleLine(columns)};
    for (const Row &row : rows)
        lines.push_back(cellLine(columns, row));
    appendTextTable(output, name, std::move(lines));
}

std::string renderText(const Report &report)
{
    std::string output;
    appendTextTable(output, "instances", partColumns(), report.parts);
    const ReportPart summary = summarise(report);
    forEachTable([&](const auto &table) {
        appendTextTable(output, table.name, table.columns, summary.*table.rows);
    });
    return output;
}

// Quotes according to RFC 4180. Text that a spreadsheet would evaluate as a formula is prefixed
// with an apostrophe.
std::string csvField(const std::string &text, bool isText)
{
    std::string field = text;
    if (isText && !field.empty()
        && std::string_view("=+-@\t\r").find(field[0]) != std::string::npos)
        field.insert(0, "'");
    if (field.find_first_of(",\"\r\n") == std::string::npos)
        return field;
    std::string quoted = "\"";
    for (const char character : field)
        quoted += character == '"' ? std::string("\"\"") : std::string(1, character);
    return quoted + "\"";
}

template<class Row>
void appendCsvCells(std::string &output, const std::vector<Column<Row>> &columns, const Row &row)
{
    for (const Column<Row> &column : columns) {
        const Cell cell = column.read(row);
        output += ',';
        output += csvField(formatCell(cell), std::holds_alternative<std::string>(cell));
    }
}

// Writes one block per table, separated by empty lines; the first column is the table's name.
std::string renderCsv(const Report &report)
{
    std::string output;
    const std::vector<Column<ReportPart>> identityColumns = partColumns();
    forEachTable([&](const auto &table) {
        output += output.empty() ? "table" : "\r\ntable";
        for (const Line &line : {titleLine(identityColumns), titleLine(table.columns)}) {
            for (const std::string &title : line)
                output += "," + title;
        }
        output += "\r\n";
        for (const ReportPart &part : report.parts) {
            for (const auto &row : part.*table.rows) {
                output += table.name;
                appendCsvCells(output, identityColumns, part);
                appendCsvCells(output, table.columns, row);
                output += "\r\n";
            }
        }
    });
    return output;
}

} // namespace

std::string renderReport(const Report &report, Format format)
{
    switch (format) {
    case Format::Text:
        return renderText(report);
    case Format::Json:
        return encodeReport(report);
    case Format::Csv:
        return renderCsv(report);
    }
    return {};
}

} // namespace amaranthdale::report
