// Formatting of log lines.
#include "amaranthdale/log/event_log.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace amaranthdale::log {

namespace {

bool isKeyCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '_' || character == '-'
            || character == '.';
}

bool isControl(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code < 0x20 || code == 0x7f;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char character) {
               return isControl(character) || character == ' ' || character == '='
                       || character == '"' || character == '\\';
           });
}

void appendEscaped(std::string &line, char character)
{
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (character == '\n') {
        line += "\\n";
    } else if (isControl(character)) {
        char code[8];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(character));
        line += code;
    } else {
        line += character;
    }
}

void appendKey(std::string &line, std::string_view key)
{
    for (const char character : key)
        line += isKeyCharacter(character) ? character : '_';
}

void appendPair(std::string &line, std::string_view key, std::string_view value)
{
    line += ' ';
    appendKey(line, key);
    line += '=';
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
        appendEscaped(line, character);
    line += '"';
}

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto wholeSeconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(time - wholeSeconds);
    const std::time_t seconds = std::chrono::system_clock::to_time_t(wholeSeconds);
    std::tm calendar{};
    gmtime_r(&seconds, &calendar);
    char text[32];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &calendar);
    char suffix[16];
    std::snprintf(suffix, sizeof suffix, ".%03dZ", static_cast<int>(milliseconds.count()));
    return std::string(text, length) + suffix;
}

} // namespace

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "error";
}

std::string formatLine(std::chrono::system_clock::time_point time, Severity severity,
                       std::string_view event, const std::vector<Field> &fields)
{
    std::string line = "time=" + formatTime(time);
    appendPair(line, "severity", severityName(severity));
    appendPair(line, "event", event);
    for (const Field &field : fields)
        appendPair(line, field.key, field.value);
    return line;
}

} // namespace amaranthdale::log
