// Encoding of reads in request targets.
#include "read_request.h"

#include "amaranthdale/core/numbers.h"
#include "amaranthdale/relay/relay.h"

#include <algorithm>

namespace amaranthdale::relay {

namespace {

constexpr std::uint64_t maxPartitionIndex = 10'000;
constexpr std::uint64_t maxWaitMilliseconds = 60'000;
constexpr std::string_view storeReaderSuffix = "&source=store";

} // namespace

std::string formatTarget(const ReadRequest &request)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(request.wait);
    std::string target = std::string(relayPathPrefix) + request.partition.topic + '/'
            + std::to_string(request.partition.index)
            + "?from=" + (request.from ? std::to_string(*request.from) : "")
            + "&wait=" + std::to_string(wait.count());
    if (request.fromStoreReader)
        target += storeReaderSuffix;
    return target;
}

std::optional<ReadRequest> parseTarget(std::string_view target)
{
    if (!target.starts_with(relayPathPrefix))
        return std::nullopt;
    target.remove_prefix(relayPathPrefix.size());
    const bool fromStoreReader = target.ends_with(storeReaderSuffix);
    if (fromStoreReader)
        target.remove_suffix(storeReaderSuffix.size());
    const std::size_t slash = target.find('/');
    const std::size_t from = target.find("?from=");
    const std::size_t wait = target.find("&wait=");
    if (slash == std::string_view::npos || from == std::string_view::npos
        || wait == std::string_view::npos || slash > from || from > wait)
        return std::nullopt;
    constexpr std::size_t parameterSize = 6; // Of "?from=" and "&wait=".
    const auto part = core::parseUnsigned(target.substr(slash + 1, from - slash - 1));
    const std::string_view offsetText =
            target.substr(from + parameterSize, wait - from - parameterSize);
    const auto offset = core::parseUnsigned(offsetText);
    const auto milliseconds = core::parseUnsigned(target.substr(wait + parameterSize));
    if (!part || *part > maxPartitionIndex || (!offset && !offsetText.empty()) || !milliseconds)
        return std::nullopt;
    ReadRequest request;
    request.partition = {std::string(target.substr(0, slash)), static_cast<unsigned>(*part)};
    request.from = offset;
    request.fromStoreReader = fromStoreReader;
    request.wait = std::chrono::milliseconds(std::min(*milliseconds, maxWaitMilliseconds));
    return request;
}

} // namespace amaranthdale::relay
