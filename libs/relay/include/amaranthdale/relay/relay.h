// Relay through which one instance of each data centre reads the store for the others.
//
// With `singleStoreReader`, one of the relays reads the store and the others read from it, so that
// the number of reads doesn't grow with the number of data centres.
//
// GET /records/TOPIC/PART?from=OFFSET&wait=MILLISECONDS, between instances; without an offset, the
// newest record of each key is meant. Relays add `&source=store`:
// 200: `End` is the offset to continue reading from; the body holds the records (record_codec.h).
// `Data-Age` and `Held` tell how old the data is (response_age.h).
// 404: this instance is not a relay, or with `source` doesn't read the store itself.
// 410: it doesn't hold the offset; read the newest records instead.
// 503: this instance has lost contact with the store.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/members.h"
#include "amaranthdale/relay/record_source.h"

#include <memory>

namespace amaranthdale::relay {

struct RelayOptions
{
    /// Longest wait requested from a relay. Together with `responseMargin`, it bounds the delay of
    /// changes when the relay stops responding.
    core::Duration maxWait = std::chrono::milliseconds(1000);
    /// The relay may have to read several pages of the store first.
    core::Duration maxNewestWait = std::chrono::milliseconds(2500);
    core::Duration responseMargin = std::chrono::milliseconds(400);
    /// A relay whose last response from the store is older than this has lost the store. Its own
    /// reads wait for up to 1 s, and a store under load may take 0.3 s more to respond.
    core::Duration maxStaleness = std::chrono::milliseconds(1500);
    /// An instance that does not relay, though it is selected here, is asked again for this long:
    /// the lists of members may differ for a moment. The time counts once in `disagreementPeriod`.
    core::Duration disagreementTime = std::chrono::milliseconds(700);
    /// Interval of these requests, which grows. When all instances start together, the relay takes
    /// its list into use within 0.1 s of most others; a fixed 250 ms made them all wait that long.
    core::Duration minDisagreementRetry = std::chrono::milliseconds(40);
    core::Duration maxDisagreementRetry = std::chrono::milliseconds(250);
    core::Duration disagreementPeriod = std::chrono::seconds(5);
    /// How long the store is read directly after the relay could not serve a read.
    core::Duration directReadTime = std::chrono::milliseconds(1500);
    /// Minimum time between the starts of two reads of a partition by an instance that isn't the
    /// relay, and by the relay. During direct reads, as at startup, each change would otherwise
    /// make all instances read.
    core::Duration directReadInterval = std::chrono::milliseconds(800);
    core::Duration relayReadInterval = std::chrono::milliseconds(250);
    /// One relay reads the store for those of all data centres. Off: while the store loses
    /// responses, changes reach all data centres up to 3 s late (KNOWN-RED.txt).
    bool singleStoreReader = false;
    /// Longest wait requested from the relay that reads the store. If it is lost, this relay has to
    /// notice and to read the store itself within `maxStaleness`.
    core::Duration maxStoreReaderWait = std::chrono::milliseconds(700);
    /// How long a relay reads the store itself after the store reader could not serve a read. After
    /// an outage of the store, asking one relay after the other delayed changes by another second.
    core::Duration ownReadTime = std::chrono::seconds(10);
    /// How long a relay that could not read the store reads from another one.
    core::Duration storeLostTime = std::chrono::seconds(5);
    std::size_t retainedRecords = 2000; ///< Per partition, for instances that lag behind.
};

/// A source that reads through the relay of its data centre, or, as that relay, through the one
/// that reads the store. It reads from the store itself if neither can serve the read. Also serves
/// reads of other instances.
class Relay : public RecordSource, public core::RequestHandler
{
public:
    /// True if this instance reads the store for its data centre. False until the members are
    /// known.
    virtual bool isRelay() const = 0;

    /// Reads the store directly, also if another instance is the relay; for decisions that depend
    /// on the age of the data.
    virtual void readDirect(const Partition &partition, std::uint64_t from, core::Duration wait,
                            Handler<Batch> handler) = 0;
};

/// Prefix of the request targets that a relay serves.
inline constexpr std::string_view relayPathPrefix = "/records/";

std::shared_ptr<Relay> makeRelay(RecordSource &store, core::HttpSender &peers,
                                 membership::Members &members, clock::Clock &clock,
                                 log::EventLog &events, RelayOptions options = {});

} // namespace amaranthdale::relay
