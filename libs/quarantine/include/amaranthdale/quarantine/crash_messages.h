// Messages about requests that crash backend servers, between instances.
//
// A message is one datagram of at most 1,200 bytes. Numbers are big-endian. The first byte differs
// from those of all other datagrams between instances.
#pragma once

#include "amaranthdale/quarantine/crash_policy.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::quarantine {

inline constexpr unsigned char crashMessageByte = 0x53;

/// Entries of each kind beyond this number are omitted.
inline constexpr std::size_t maxMessageEntries = 20;

struct CrashMessage
{
    std::vector<Crash> crashes;
    std::vector<Block> blocks;
    std::vector<Fingerprint> cleared; ///< Requests that a server has responded to.

    bool isEmpty() const
    {
        return this->crashes.empty() && this->blocks.empty() && this->cleared.empty();
    }

    bool operator==(const CrashMessage &) const = default;
};

/// Times are rounded up to milliseconds.
std::string encodeCrashMessage(const CrashMessage &message);

/// Returns nullopt if `bytes` is not a valid message.
std::optional<CrashMessage> decodeCrashMessage(std::string_view bytes);

/// True if a datagram is meant for this library.
bool isCrashMessage(std::string_view bytes);

} // namespace amaranthdale::quarantine
