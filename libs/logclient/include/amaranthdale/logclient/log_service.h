// Client of the platform's append-only log service.
#pragma once

#include "amaranthdale/core/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::logclient {

/// A record as the log holds it; the body is opaque to the log.
struct LogEntry
{
    core::LogOffset offset;
    std::string body;
};

/// Result of a read.
struct LogPage
{
    core::LogOffset first;         ///< Oldest offset that the log still holds.
    core::LogOffset next;          ///< Offset that the next append will get.
    std::vector<LogEntry> entries; ///< In order of offset, without gaps.
};

/// The log as the rest of the system sees it. Thread-safe.
class LogService
{
public:
    virtual ~LogService() = default;

    /// Appends a record. An error of kind Unavailable says that it was not appended; after Timeout,
    /// ConnectionLost or Protocol it may be, now or later.
    virtual void append(std::string body, core::Duration timeout,
                        std::function<void(core::Outcome<core::LogOffset>)> handler) = 0;

    /// Reads up to `most` records from `from` on; a page begins later when retention has removed
    /// some. The log waits up to `wait` when there are none yet, and `timeout` counts on top of it.
    virtual void read(core::LogOffset from, std::size_t most, core::Duration wait,
                      core::Duration timeout,
                      std::function<void(core::Outcome<LogPage>)> handler) = 0;
};

/// Client of the log at `endpoint` over `sender`, which must outlive it.
std::unique_ptr<LogService> makeLogService(core::HttpSender &sender, core::Endpoint endpoint,
                                           std::string stream);

} // namespace amaranthdale::logclient
