// Files of events, written by several threads or processes and read as a whole.
#pragma once

#include "amaranthdale/core/error.h"
#include "amaranthdale/history/events.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranthdale::history {

/// Takes events. Thread-safe.
class EventSink
{
public:
    virtual ~EventSink() = default;

    virtual void write(const Event &event) = 0;
};

/// Appends to the file at `path`, which it creates. Each event is one write to the end of the file,
/// so that lines of several processes don't mix. Fails with Unavailable.
core::Result<std::unique_ptr<EventSink>> openHistoryFile(const std::string &path);

/// A sink that drops all events.
std::unique_ptr<EventSink> makeNullSink();

/// Events of the file at `path`. A last line without line end is left out: its writer was stopped.
/// Fails with NotFound, or with InvalidDocument that names the line.
core::Result<std::vector<Event>> readHistoryFile(const std::string &path);

} // namespace amaranthdale::history
