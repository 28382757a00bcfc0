// Client of the platform's append-only log service.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::logclient {

/// A record of the log. The log does not interpret the body.
struct LogEntry
{
    core::LogOffset offset;
    std::string body;
};

/// Result of `LogService::read`.
struct LogPage
{
    core::LogOffset first;         ///< Oldest offset that the log retains.
    core::LogOffset next;          ///< Offset of the next record to be appended.
    std::vector<LogEntry> entries; ///< Ordered by offset, without gaps.
};

/// Interface to the log. Thread-safe.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends a record. Unavailable means that it was not appended; after Timeout, ConnectionLost
    /// or Protocol the outcome is unknown, and the record may still be appended later.
    virtual void append(std::string body, core::Duration timeout,
                        std::function<void(core::Outcome<core::LogOffset>)> handler) = 0;

    /// Reads up to `maxEntries` records, starting at `from` or at the oldest retained record if
    /// that is later. When there are none yet, the log waits up to `wait` for one (long poll);
    /// `timeout` is added to `wait`.
    virtual void read(core::LogOffset from, std::size_t maxEntries, core::Duration wait,
                      core::Duration timeout,
                      std::function<void(core::Outcome<LogPage>)> handler) = 0;
};

/// Creates a client of log stream `stream` at `endpoint`. `sender` must outlive it.
std::unique_ptr<LogService> makeLogService(core::HttpSender &sender, core::Endpoint endpoint,
                                           std::string stream);

} // namespace amaranthdale::logclient
