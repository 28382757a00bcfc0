// In-memory cluster behind an HttpSender: a log and instances that replay it.
#pragma once

#include "amaranthdale/cli/blocking_clock.h"
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

/// Advances its own time instead of waiting.
class FakePacer : public BlockingClock
{
public:
    core::TimePoint now() const override { return this->current; }

    void sleepFor(core::Duration duration) override
    {
        this->current += duration;
        if (this->whenPaused)
            this->whenPaused();
    }

    std::function<void()> whenPaused;

private:
    core::TimePoint current{std::chrono::hours(1)};
};

/// Serves the operators' port and the log service from one list of records.
class FakeCluster : public core::HttpSender
{
public:
    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration timeout,
                                         core::ResponseHandler handler) override;

    /// Appends a record directly, as if by another proposer.
    void append(std::string body) { this->records.push_back(std::move(body)); }

    /// Returns the state after replaying all records.
    decisions::ClusterState state() const;

    std::vector<std::string> records; ///< The record at offset N is at index N-1.
    std::map<std::string, std::uint64_t> instances = {{"i1", 0}, {"i2", 0}};
    std::vector<report::InstanceView> otherInstances; ///< Listed unchanged.
    bool instancesFollow = true;         ///< If false, they stay at the offsets in `instances`.
    std::function<void()> beforeAppend;  ///< Runs once before an append, to insert another record.
    bool loseAppendResponse = false;     ///< The append still takes effect.
    std::optional<core::Error> logError; ///< Result of every request to the log.
    std::vector<std::string> targets;    ///< Targets of all requests to the operators' port.

private:
    core::Outcome<core::HttpResponse> respondAsLog(const core::HttpRequest &request);
    core::Outcome<core::HttpResponse> respondAsInstance(const std::string &target);
    std::string readRecords(const std::string &target) const;
};

} // namespace amaranthdale::cli
