// Encoding and decoding of service times.
#include "amaranthdale/control/speed_report.h"

#include <charconv>
#include <cmath>

namespace amaranthdale::control {

namespace {

// An instance holds a few pools, each with a few routes. More only after a large membership change.
constexpr std::size_t maxLines = 4096;
constexpr std::size_t maxNameBytes = 256;
constexpr double hundredths = 100;
// Sums decay within seconds, so larger numbers are not measurements.
constexpr std::uint64_t maxRequests = 100'000'000;
constexpr std::uint64_t maxMicroseconds = 1'000'000'000'000;

struct Line
{
    std::uint64_t requests = 0;
    std::uint64_t microseconds = 0;
    std::uint64_t route = 0;
    std::uint64_t incarnation = 0;
    std::string_view server;
};

// Removes a number and the space after it from the start of `text`.
bool takeField(std::string_view &text, std::uint64_t &number)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr == text.data() + text.size() || *parsed.ptr != ' ')
        return false;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()) + 1);
    return true;
}

// Removes a line from the start of `text`. Returns nothing if it isn't valid.
std::optional<Line> takeLine(std::string_view &text)
{
    Line line;
    for (std::uint64_t *field :
         {&line.requests, &line.microseconds, &line.route, &line.incarnation}) {
        if (!takeField(text, *field))
            return std::nullopt;
    }
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos || end == 0 || end > maxNameBytes || line.requests == 0
        || line.requests > maxRequests || line.microseconds == 0
        || line.microseconds > maxMicroseconds)
        return std::nullopt;
    line.server = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

bool isTransferable(const std::string &name)
{
    return !name.empty() && name.size() <= maxNameBytes && name.find('\n') == std::string::npos;
}

} // namespace

std::string formatSpeedReport(const std::vector<balance::ServerTimes> &servers)
{
    std::string text;
    std::size_t lines = 0;
    for (const balance::ServerTimes &server : servers) {
        if (!isTransferable(server.server.value))
            continue;
        for (const balance::RouteTimes &route : server.routes) {
            const auto requests = std::llround(route.requests * hundredths);
            const auto total =
                    std::chrono::duration_cast<std::chrono::microseconds>(route.total).count();
            if (requests <= 0 || total <= 0)
                continue;
            if (++lines > maxLines)
                return text;
            text += std::to_string(requests) + ' ' + std::to_string(total) + ' '
                    + std::to_string(route.route) + ' ' + std::to_string(server.incarnation) + ' '
                    + server.server.value + '\n';
        }
    }
    return text;
}

std::optional<std::vector<balance::ServerTimes>> parseSpeedReport(std::string_view text)
{
    std::vector<balance::ServerTimes> servers;
    for (std::size_t lines = 0; !text.empty(); ++lines) {
        const auto line = takeLine(text);
        if (!line || lines >= maxLines)
            return std::nullopt;
        if (servers.empty() || servers.back().server.value != line->server
            || servers.back().incarnation != line->incarnation)
            servers.push_back({core::ServerName(std::string(line->server)), line->incarnation, {}});
        servers.back().routes.push_back(
                {line->route, static_cast<double>(line->requests) / hundredths,
                 std::chrono::microseconds(static_cast<std::int64_t>(line->microseconds))});
    }
    return servers;
}

} // namespace amaranthdale::control
