// Request ids and outcomes.
#include "amaranthdale/decisions/request.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace amaranthdale::decisions {

namespace {

constexpr std::string_view issuedPrefix = "amd-";
constexpr std::size_t randomDigits = 32;

bool isLowerHex(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

} // namespace

std::uint64_t randomBelow(RandomSource &random, std::uint64_t bound)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

RunOutcome outcomeForCaller(const RequestInfo &request, const Refusal &refusal)
{
    const bool concernsAttemptOnly =
            refusal.outcome == RunOutcome::NotRun && refusal.kind == core::ErrorKind::Fenced;
    const bool mayBeResend = request.origin != IdOrigin::Instance && !request.idempotent;
    return concernsAttemptOnly && mayBeResend ? RunOutcome::Unknown : refusal.outcome;
}

core::RequestId makeIssuedId(core::LogOffset replayed, RandomSource &random)
{
    char digits[randomDigits + 1];
    const unsigned long long high = random();
    const unsigned long long low = random();
    std::snprintf(digits, sizeof digits, "%016llx%016llx", high, low);
    return core::RequestId(std::string(issuedPrefix) + std::to_string(replayed.value) + "-"
                           + digits);
}

std::optional<core::LogOffset> parseIssuedId(std::string_view id)
{
    if (!id.starts_with(issuedPrefix))
        return std::nullopt;
    id.remove_prefix(issuedPrefix.size());
    const std::size_t dash = id.find('-');
    if (dash == std::string_view::npos)
        return std::nullopt;

    const std::string_view offsetText = id.substr(0, dash);
    const std::string_view randomText = id.substr(dash + 1);
    const bool leadingZero = offsetText.size() > 1 && offsetText.front() == '0';
    if (offsetText.empty() || leadingZero || randomText.size() != randomDigits
        || !std::all_of(randomText.begin(), randomText.end(), isLowerHex))
        return std::nullopt;

    std::uint64_t offset = 0;
    const char *end = offsetText.data() + offsetText.size();
    const auto [parsed, error] = std::from_chars(offsetText.data(), end, offset);
    if (error != std::errc() || parsed != end)
        return std::nullopt;
    return core::LogOffset(offset);
}

} // namespace amaranthdale::decisions
