// Interfaces that key control depends on: the log, grants at servers, the election and peers.
#pragma once

#include "amaranthdale/balance/server_speeds.h"
#include "amaranthdale/catalog/directory.h"
#include "amaranthdale/core/outcome.h"
#include "amaranthdale/keyspace/lease_manager.h"
#include "amaranthdale/keyspace/witness_selection.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::control {

/// State of a service's log.
struct LogState
{
    bool changed = false; ///< False if nothing was appended at or after the requested position.
    std::optional<keyspace::Assignment> newest; ///< Newest record, if `changed`.
    std::uint64_t end = 0;                      ///< Position of the next record.
    core::Duration age{}; ///< Maximum age of the state at the time of the call.
};

/// The source of a log read.
enum class ReadSource {
    AnyInstance, ///< The result may be relayed by another instance.
    Log,         ///< Only the log, for decisions that depend on when it was read.
};

/// Durable assignments, in one log per keyed service. Thread-safe.
class AssignmentLog
{
public:
    virtual ~AssignmentLog() = default;

    using ReadHandler = std::function<void(core::Outcome<LogState>)>;
    using AppendHandler = std::function<void(keyspace::AppendResult)>;

    /// Reads the records at or after position `from`, or the newest record if `from` is not set.
    /// Waits up to `wait` for a record to be appended.
    virtual void read(const core::ServiceName &service, std::optional<std::uint64_t> from,
                      core::Duration wait, ReadSource source, ReadHandler handler) = 0;

    /// Appends the assignment if the log still ends at the expected position.
    virtual void append(const core::ServiceName &service, const keyspace::AppendCommand &command,
                        AppendHandler handler) = 0;
};

/// Grants and releases at backend servers. Thread-safe. Implementations reset unanswered calls so
/// that no part of a call arrives later than the granter's `maxCallDelay`.
class GrantChannel
{
public:
    virtual ~GrantChannel() = default;

    using GrantHandler = std::function<void(keyspace::CommandResult)>;
    using ReleaseHandler = std::function<void(keyspace::CommandResult, std::string handover)>;

    /// Sends the grant. A call that isn't answered within `timeout` is reset.
    virtual void grant(const core::Endpoint &server, const keyspace::GrantCommand &command,
                       core::Duration timeout, GrantHandler handler) = 0;
    virtual void release(const core::Endpoint &server, const keyspace::ReleaseCommand &command,
                         ReleaseHandler handler) = 0;
};

/// Elects an instance for each service. The result may be wrong or differ between instances: it
/// only serves to keep most instances from trying to become the granter.
class Election
{
public:
    virtual ~Election() = default;

    virtual bool isElected(const core::ServiceName &service) const = 0;

    /// True if this instance stands for election.
    virtual bool isCandidate() const = 0;
};

/// Other instances that may take over as granter.
class SuccessorDirectory
{
public:
    virtual ~SuccessorDirectory() = default;

    /// Peer addresses, those that most likely reach the store first.
    virtual std::vector<std::string> successors() const = 0;
};

/// Other instances that may be witnesses of a granter.
class WitnessDirectory
{
public:
    virtual ~WitnessDirectory() = default;

    virtual core::DataCentreName ownDataCentre() const = 0;

    /// Without this instance; those to prefer first.
    virtual std::vector<keyspace::WitnessCandidate> candidates() const = 0;
};

/// Messages to witnesses, with best-effort delivery. The handlers are not called, or called with
/// nothing, if the witness doesn't answer.
class WitnessChannel
{
public:
    virtual ~WitnessChannel() = default;

    using IdentityHandler = std::function<void(std::optional<core::InstanceId>)>;

    /// Calls `confirmed` if the witness has confirmed.
    virtual void requestConfirmation(const keyspace::ConfirmationRequest &request,
                                     const core::ServiceName &service,
                                     std::function<void()> confirmed) = 0;

    /// Calls `agreed` if the witness has agreed, or its process has ended.
    virtual void requestAgreement(const keyspace::AgreementRequest &request,
                                  const core::ServiceName &service,
                                  std::function<void(keyspace::WitnessAgreement)> agreed) = 0;

    /// Asks which process would be the witness.
    virtual void queryIdentity(const std::string &peerAddress, const core::ServiceName &service,
                               IdentityHandler handler) = 0;
};

/// Messages to other instances, with best-effort delivery: lost messages are harmless.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /// Receives the leases of a granter that has ended; nothing if it can't tell them.
    using EndedHandler = std::function<void(std::optional<keyspace::LeaseReport>)>;

    /// Asks a replaced granter to stop granting. Calls `ended` if it has stopped or its process has
    /// ended.
    virtual void requestStepDown(const keyspace::StepDownRequest &request,
                                 const core::ServiceName &service, EndedHandler ended) = 0;

    /// Asks the instance at `peerAddress` to take over from `granter`, this instance.
    virtual void requestTakeover(const std::string &peerAddress, const core::ServiceName &service,
                                 const core::InstanceId &granter) = 0;

    /// Asks the granter whether it keeps its role. Calls `handler` with nothing if it didn't
    /// answer.
    virtual void queryGranter(const keyspace::Predecessor &granter,
                              const core::ServiceName &service,
                              std::function<void(std::optional<bool>)> handler) = 0;

    /// Sends key counts to the granter.
    virtual void report(const std::string &granterPeer, const core::ServiceName &service,
                        const std::vector<keyspace::KeyCount> &counts) = 0;

    /// Sends measured service times to the granter.
    virtual void reportSpeeds(const std::string &granterPeer, const core::ServiceName &service,
                              const std::vector<balance::ServerTimes> &servers) = 0;
};

} // namespace amaranthdale::control
