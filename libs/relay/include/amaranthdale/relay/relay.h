// Lets one instance of each data centre read the store for the others.
//
// GET /records/TOPIC/PART?from=OFFSET&wait=MILLISECONDS, between instances:
// 200: `End` names the offset to read on from; the body holds the records (see record_codec.h).
// 404: this instance doesn't relay the partition from this offset; read the store instead.
// 503: it has lost the store.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/relay/record_source.h"

#include <memory>

namespace amaranthdale::relay {

struct RelayLimits
{
    /// Longest wait asked of a relay. Bounds, with `answerMargin`, how late a change is noticed
    /// when the relay stops answering.
    core::Duration wait = std::chrono::milliseconds(1000);
    core::Duration answerMargin = std::chrono::milliseconds(400);
    /// A relay whose last answer from the store is older has lost it. Its own reads wait for up to
    /// 1 s, and a store under load has been seen to need 0.3 s more.
    core::Duration freshness = std::chrono::milliseconds(1500);
    /// After a relay could not help, the store is read directly for this long.
    core::Duration directTime = std::chrono::milliseconds(1500);
    /// Least time between the starts of two reads of one partition: where each change would wake
    /// all instances, as at a start, and at the relay.
    core::Duration directInterval = std::chrono::milliseconds(800);
    core::Duration relayInterval = std::chrono::milliseconds(250);
    std::size_t keptRecords = 2000; ///< Of each partition, for instances that lag behind.
};

/// A source that reads through the relay of its data centre, or from the store where this instance
/// is the relay or the relay doesn't help. Also serves the requests of other instances.
class Relay : public RecordSource, public core::RequestHandler
{
public:
    /// True when this instance reads the store for its data centre. False before the members are
    /// known.
    virtual bool isRelay() const = 0;

    /// Reads the store itself, whoever the relay is; for decisions that rest on a read's age.
    virtual void readDirect(const Partition &partition, std::uint64_t from, core::Duration wait,
                            Handler<Batch> handler) = 0;
};

/// First part of the targets that a relay serves.
inline constexpr std::string_view relayPrefix = "/records/";

std::shared_ptr<Relay> makeRelay(RecordSource &store, core::HttpSender &peers,
                                 membership::Members &members, clock::Clock &clock,
                                 log::EventLog &events, RelayLimits limits = {});

} // namespace amaranthdale::relay
