// HTTP handler of the log service stand-in; streams are kept in memory.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/history/history_file.h"
#include "amaranthdale/tables/guarded.h"
#include "common/http_target.h"
#include "log_standin/log_faults.h"
#include "log_standin/log_stream.h"

#include <map>
#include <vector>

namespace amaranthdale::tools {

/// Serves `/streams/{name}/records` and `/control`. Must outlive the clock's timers.
class LogHandler : public core::RequestHandler
{
public:
    /// `retain` is the number of records that each stream keeps, at least 1.
    LogHandler(clock::Clock &clock, history::EventSink &sink, std::size_t retain);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    // A long poll that waits for the next record.
    struct PendingRead
    {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t maxRecords = 0;
        core::ResponseHandler respond;
        clock::TimerId timer = 0;
    };

    struct State
    {
        std::map<std::string, LogStream> streams;
        LogFaults faults;
        std::uint64_t lastReadId = 0;
        std::map<std::uint64_t, PendingRead> pendingReads;
    };

    // A response to send after the lock is released.
    struct Reply
    {
        core::ResponseHandler respond;
        core::HttpResponse response;
        clock::TimerId timer = 0; // Timer to cancel, or 0.
    };

    void control(const core::HttpRequest &request, const core::ResponseHandler &respond);
    void append(const std::string &stream, std::string body, const core::ResponseHandler &respond);
    void applyAppend(const std::string &stream, const std::string &body,
                     const core::ResponseHandler &respond);
    void read(const std::string &stream, const HttpTarget &target,
              const core::ResponseHandler &respond);
    void readOrWait(PendingRead pendingRead, core::Duration wait);
    void expireRead(std::uint64_t id);
    void send(std::vector<Reply> replies);

    static std::vector<Reply> takeReadyReplies(State &state, const std::string &stream);
    static std::vector<Reply> failPendingReads(State &state);

    clock::Clock &clock;
    history::EventSink &sink;
    const std::size_t retain;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
