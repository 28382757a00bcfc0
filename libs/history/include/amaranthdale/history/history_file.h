// History files, appended to by several threads or processes and read as a whole.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/history/events.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::history {

/// Receives events. Thread-safe.
class EventSink
{
public:
    virtual ~EventSink() = default;

    virtual void write(const Event &event) = 0;
};

/// Opens a sink that appends to the file at `path`, creating it if necessary. Each event is
/// appended by a single write, so that lines of several processes don't interleave. Fails with
/// Unavailable.
core::Result<std::unique_ptr<EventSink>> openHistoryFile(const std::string &path);

/// Creates a sink that discards all events.
std::unique_ptr<EventSink> makeNullSink();

/// Reads the events of the file at `path`. A last line without a line terminator is ignored, since
/// its writer was killed during the write. Fails with NotFound, or with InvalidDocument and the
/// line number.
core::Result<std::vector<Event>> readHistoryFile(const std::string &path);

} // namespace amaranthdale::history
