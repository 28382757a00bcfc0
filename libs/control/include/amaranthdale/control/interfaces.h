// What the control of keys needs from outside: a log, grants at servers, an election and peers.
#pragma once

#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/core/outcome.h"
#include "amaranthdale/keyspace/granter.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::control {

/// State of a service's log.
struct LogState
{
    bool changed = false; ///< False: nothing was added since the offset of the read.
    std::optional<keyspace::Assignment> newest; ///< Newest record, where `changed`.
    std::uint64_t end = 0;                      ///< Offset of the next record.
    core::Duration age{};                       ///< The state may be this much older than the call.
};

/// Who may answer a read.
enum class ReadFrom {
    Anyone, ///< Another instance may pass on what it has read.
    Log,    ///< The log itself, for decisions that rest on the time of the read.
};

/// Durable assignments, one log for each keyed service. Thread-safe.
class AssignmentLog
{
public:
    virtual ~AssignmentLog() = default;

    using ReadHandler = std::function<void(core::Outcome<LogState>)>;
    using AppendHandler = std::function<void(keyspace::AppendResult)>;

    /// Reads what was added at or after offset `from`, or the newest record where it is unset.
    /// Waits up to `wait` for an addition.
    virtual void read(const core::ServiceName &service, std::optional<std::uint64_t> from,
                      core::Duration wait, ReadFrom source, ReadHandler handler) = 0;

    /// Appends, provided that the log ends at the order's offset.
    virtual void append(const core::ServiceName &service, const keyspace::AppendOrder &order,
                        AppendHandler handler) = 0;
};

/// Grants and releases at backend servers. Thread-safe. An unanswered call is reset, so that no
/// part of it arrives later than the granter's `transit`.
class GrantChannel
{
public:
    virtual ~GrantChannel() = default;

    using GrantHandler = std::function<void(keyspace::OrderResult)>;
    using ReleaseHandler = std::function<void(keyspace::OrderResult, std::string handover)>;

    virtual void grant(const core::Endpoint &server, const keyspace::GrantOrder &order,
                       GrantHandler handler) = 0;
    virtual void release(const core::Endpoint &server, const keyspace::ReleaseOrder &order,
                         ReleaseHandler handler) = 0;
};

/// Names one instance for each service. The answer may be wrong or differ between instances: it
/// only keeps most instances from trying to become the granter.
class Election
{
public:
    virtual ~Election() = default;

    virtual bool isElected(const core::ServiceName &service) const = 0;
};

/// Messages to other instances. Losses are harmless.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /// Asks a granter that was replaced to stop. `ended` is called if it did, or if its process has
    /// ended.
    virtual void requestStepDown(const keyspace::Predecessor &predecessor,
                                 const core::ServiceName &service, std::function<void()> ended) = 0;

    /// Sends key counts to the granter.
    virtual void report(const std::string &granterPeer, const core::ServiceName &service,
                        const std::vector<keyspace::KeyCount> &counts) = 0;
};

} // namespace amaranthdale::control
