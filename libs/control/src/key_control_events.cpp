// The events that key control logs of records, grants and freed keys.
#include "amaranthdale/control/key_control.h"

namespace amaranthdale::control {

namespace {

std::string_view resultName(keyspace::CommandResult result)
{
    switch (result) {
    case keyspace::CommandResult::Success:
        return "done";
    case keyspace::CommandResult::Fenced:
        return "fenced";
    case keyspace::CommandResult::ServerReplaced:
        return "server-replaced";
    case keyspace::CommandResult::NotExecuted:
        return "not-executed";
    case keyspace::CommandResult::NoAnswer:
        return "no-answer";
    }
    return "";
}

std::string_view reasonName(keyspace::FreeReason reason)
{
    switch (reason) {
    case keyspace::FreeReason::Released:
        return "released";
    case keyspace::FreeReason::LeaseEnded:
        return "lease-ended";
    case keyspace::FreeReason::ServerReplaced:
        return "server-replaced";
    }
    return "";
}

std::string inMilliseconds(core::Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

// Logs which record is in force here after a read that ended at `end`.
void KeyControl::logRecord(std::uint64_t end)
{
    const auto [record, logEnd] = this->state.with([](const State &current) {
        return std::pair(current.leaseManager.assignment(), current.leaseManager.logEnd());
    });
    this->parts.events.write(log::Severity::Info,
                             end < logEnd ? "assignment-outdated" : "assignment-read",
                             {{"service", this->service.value},
                              {"end", std::to_string(end)},
                              {"inForce", std::to_string(logEnd)},
                              {"granter", record ? record->granter.name.value : ""},
                              {"settled", record && record->settled ? "yes" : "no"}});
}

void KeyControl::logFreedKeys()
{
    const auto freed =
            this->withState([](State &current) { return current.leaseManager.takeFreedKeys(); });
    for (const keyspace::FreedKeys &keys : freed) {
        const std::string reason(reasonName(keys.reason));
        this->parts.gateway.statistics().count("ranges_freed_total", "reason=\"" + reason + "\"");
        this->parts.events.write(
                log::Severity::Info, "keys-freed",
                {{"service", this->service.value},
                 {"server", keys.ownedRange.owner.name.value},
                 {"incarnation", std::to_string(keys.ownedRange.owner.incarnation)},
                 {"first", std::to_string(keys.ownedRange.keys.first)},
                 {"last", std::to_string(keys.ownedRange.keys.last)},
                 {"fence", std::to_string(keys.ownedRange.fence)},
                 {"reason", reason},
                 {"sinceGrantMs", inMilliseconds(keys.sinceLastGrant)}});
    }
}

void KeyControl::logGrant(const keyspace::GrantCommand &command, keyspace::CommandResult result)
{
    if (result == keyspace::CommandResult::Success)
        return;
    const std::string name(resultName(result));
    this->parts.gateway.statistics().count("grants_failed_total", "result=\"" + name + "\"");
    this->parts.events.write(
            log::Severity::Info, "grant-failed",
            {{"service", this->service.value},
             {"server", command.ownedRange.owner.name.value},
             {"first", std::to_string(command.ownedRange.keys.first)},
             {"last", std::to_string(command.ownedRange.keys.last)},
             {"fence", std::to_string(command.ownedRange.fence)},
             {"result", name},
             {"elapsedMs", inMilliseconds(this->parts.clock.now() - command.createdAt)}});
}

void KeyControl::logDelayedGrant(const keyspace::GrantCommand &command, core::Duration delay)
{
    this->parts.gateway.statistics().count("grants_delayed_total");
    this->parts.events.write(log::Severity::Warning, "grant-delayed",
                             {{"service", this->service.value},
                              {"server", command.ownedRange.owner.name.value},
                              {"first", std::to_string(command.ownedRange.keys.first)},
                              {"fence", std::to_string(command.ownedRange.fence)},
                              {"delayMs", inMilliseconds(delay)}});
}

} // namespace amaranthdale::control
