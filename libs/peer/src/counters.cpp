// Process-wide counters of all sessions.
#include "counters.h"

#include "amaranthdale/peer/transport.h"

namespace amaranthdale::peer {

LiveCounters &liveCounters()
{
    static LiveCounters counters;
    return counters;
}

SessionCounters sessionCounters()
{
    const LiveCounters &live = liveCounters();
    return SessionCounters{live.protocolErrors, live.bytesReceived, live.bytesSent};
}

} // namespace amaranthdale::peer
