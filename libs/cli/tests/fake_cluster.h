// A cluster behind an HttpSender: the log, and instances that replay it.
#pragma once

#include "amaranthdale/cli/pacer.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/report/operator_views.h"

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthdale::cli {

/// Pauses by moving its own time.
class FakePacer : public Pacer
{
public:
    core::TimePoint now() const override { return this->current; }

    void pause(core::Duration duration) override
    {
        this->current += duration;
        if (this->whenPaused)
            this->whenPaused();
    }

    std::function<void()> whenPaused;

private:
    core::TimePoint current{std::chrono::hours(1)};
};

/// Answers the operators' port and the log's port from one list of records.
class FakeCluster : public core::HttpSender
{
public:
    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration timeout,
                                         core::ResponseHandler handler) override;

    /// Appends a record as another proposer would.
    void append(std::string body) { this->records.push_back(std::move(body)); }

    /// The state as of all records.
    decisions::ClusterState state() const;

    std::vector<std::string> records; ///< The record at offset N is at index N-1.
    std::map<std::string, std::uint64_t> instances = {{"i1", 0}, {"i2", 0}};
    std::vector<report::InstanceView> otherInstances; ///< Listed as they are.
    bool instancesFollow = true;         ///< Else they stay at the offsets in `instances`.
    std::function<void()> beforeAppend;  ///< Runs once, to let another proposer go first.
    bool loseAppendResponse = false;     ///< The append takes effect all the same.
    std::optional<core::Error> logError; ///< Answer to every request to the log.
    std::vector<std::string> targets;    ///< Of all requests to the operators' port.

private:
    core::Outcome<core::HttpResponse> answerLog(const core::HttpRequest &request);
    core::Outcome<core::HttpResponse> answerOperator(const std::string &target);
    std::string readRecords(const std::string &target) const;
};

} // namespace amaranthdale::cli
