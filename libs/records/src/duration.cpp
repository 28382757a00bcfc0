// Strict parsing and formatting of durations.
#include "amaranthdale/records/duration.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace amaranthdale::records {

namespace {

struct Unit
{
    std::string_view name;
    std::int64_t nanoseconds;
};

static_assert(std::is_same_v<core::Duration, std::chrono::nanoseconds>);

constexpr std::array<Unit, 6> unitsFromLargest = {{
        {"h", 3'600'000'000'000},
        {"min", 60'000'000'000},
        {"s", 1'000'000'000},
        {"ms", 1'000'000},
        {"us", 1'000},
        {"ns", 1},
}};

boost::leaf::error_id invalidDuration(std::string_view text)
{
    return core::fail(
            core::ErrorKind::InvalidArgument,
            "'" + std::string(text)
                    + "' is not a duration; give a whole number with ns, us, ms, s, min or "
                      "h, such as 250ms");
}

} // namespace

core::Result<core::Duration> parseDuration(std::string_view text)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const bool leadingZero = digits > 1 && text.front() == '0';
    if (digits == 0 || leadingZero)
        return invalidDuration(text);
    std::int64_t count = 0;
    if (std::from_chars(text.data(), text.data() + digits, count).ec != std::errc())
        return invalidDuration(text);
    const std::string_view name = text.substr(digits);
    const auto unit = std::find_if(unitsFromLargest.begin(), unitsFromLargest.end(),
                                   [name](const Unit &each) { return each.name == name; });
    if (unit == unitsFromLargest.end())
        return invalidDuration(text);
    if (count > std::numeric_limits<std::int64_t>::max() / unit->nanoseconds)
        return invalidDuration(text);
    return core::Duration(count * unit->nanoseconds);
}

std::string formatDuration(core::Duration duration)
{
    if (duration == core::Duration::zero())
        return "0s";
    const auto unit = std::find_if(
            unitsFromLargest.begin(), unitsFromLargest.end(),
            [duration](const Unit &each) { return duration.count() % each.nanoseconds == 0; });
    return std::to_string(duration.count() / unit->nanoseconds) + std::string(unit->name);
}

} // namespace amaranthdale::records
