// Process-wide counters of all sessions.
#pragma once

#include <atomic>
#include <cstdint>

namespace amaranthdale::peer {

/// Monotonic counters. A reader gets no consistent snapshot across them.
struct LiveCounters
{
    std::atomic<std::uint64_t> protocolErrors{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0};
};

LiveCounters &liveCounters();

} // namespace amaranthdale::peer
