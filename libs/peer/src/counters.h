// Counters over all sessions of this process.
#pragma once

#include <atomic>
#include <cstdint>

namespace amaranthdale::peer {

/// Values only grow; they are read without regard to each other.
struct LiveCounters
{
    std::atomic<std::uint64_t> protocolErrors{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0};
};

LiveCounters &liveCounters();

} // namespace amaranthdale::peer
