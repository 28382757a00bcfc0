// The log service's protocol over streams held in memory.
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

/// Serves `/streams/{s}/records` and `/control`. Must outlive the clock's timers.
class LogHandler : public core::RequestHandler
{
public:
    /// `retain` is the number of records that each stream keeps, at least 1.
    LogHandler(clock::Clock &clock, history::EventSink &sink, std::size_t retain);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    // A read that waits for a record.
    struct Waiter
    {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t most = 0;
        core::ResponseHandler respond;
        clock::TimerId timer = 0;
    };

    struct State
    {
        std::map<std::string, LogStream> streams;
        LogFaults faults;
        std::uint64_t lastWaiter = 0;
        std::map<std::uint64_t, Waiter> waiters;
    };

    // A response that is ready to go once the lock is free.
    struct Reply
    {
        core::ResponseHandler respond;
        core::HttpResponse response;
        clock::TimerId timer = 0; // To cancel; 0 for none.
    };

    void control(const core::HttpRequest &request, const core::ResponseHandler &respond);
    void append(const std::string &stream, std::string body, const core::ResponseHandler &respond);
    void takeEffect(const std::string &stream, const std::string &body,
                    const core::ResponseHandler &respond);
    void read(const std::string &stream, const HttpTarget &target,
              const core::ResponseHandler &respond);
    void readNow(Waiter waiter, core::Duration wait);
    void endWait(std::uint64_t waiter);
    void send(std::vector<Reply> replies);

    static std::vector<Reply> takeSatisfied(State &state, const std::string &stream);
    static std::vector<Reply> refuseWaiters(State &state);

    clock::Clock &clock;
    history::EventSink &sink;
    const std::size_t retain;
    tables::Guarded<State> state;
};

} // namespace amaranthdale::tools
