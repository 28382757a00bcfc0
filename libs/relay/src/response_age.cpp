// Header fields for the age of a response.
#include "response_age.h"

#include "amaranthdale/core/numbers.h"

#include <algorithm>

namespace amaranthdale::relay {

namespace {

// Microseconds. `Data-Age` is rounded up and `Held` down, so that no data looks younger than it is.
constexpr std::string_view ageField = "Data-Age";
constexpr std::string_view heldField = "Held";

// A larger number is no time that an instance can have measured.
constexpr std::chrono::microseconds maxTime = std::chrono::hours(24);

std::optional<core::Duration> readField(const core::HttpResponse &response, std::string_view name)
{
    const auto text = core::findHeader(response.headers, name);
    const auto number = text ? core::parseUnsigned(*text) : std::nullopt;
    if (!number || *number > static_cast<std::uint64_t>(maxTime.count()))
        return std::nullopt;
    return std::chrono::microseconds(*number);
}

} // namespace

void setResponseAge(core::HttpResponse &response, const ResponseAge &responseAge)
{
    const auto age = std::chrono::ceil<std::chrono::microseconds>(responseAge.age);
    const auto held = std::chrono::floor<std::chrono::microseconds>(responseAge.held);
    core::setHeader(response.headers, ageField, std::to_string(age.count()));
    core::setHeader(response.headers, heldField,
                    std::to_string(std::max<std::int64_t>(0, held.count())));
}

std::optional<core::TimePoint> confirmationTime(const core::HttpResponse &response,
                                                core::TimePoint sentAt)
{
    const auto age = readField(response, ageField);
    const auto held = readField(response, heldField);
    if (!age || !held)
        return std::nullopt;
    return sentAt + *held - *age;
}

} // namespace amaranthdale::relay
