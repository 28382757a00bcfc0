// Aggregates the events of one instance into its report.
#pragma once

#include "amaranthdale/decisions/service_document.h"
#include "amaranthdale/report/report.h"

#include <memory>

namespace amaranthdale::report {

/// Instance that a report describes.
struct ReportSource
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
};

/// Thread-safe event aggregator. Memory is bounded by the number of services and backend servers,
/// not by the number of requests.
class Recorder
{
public:
    explicit Recorder(ReportSource source);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    /// `now` is the time of the event on the instance's clock; calls from several threads may be
    /// out of order by the delay between them. Requests to services without a document in force are
    /// counted in a single unnamed row, since callers could otherwise grow the tables without bound
    /// by sending arbitrary service names.
    void requestFinished(const RequestFinished &event, core::TimePoint now);
    void serverLoad(const ServerLoad &event);
    void ownershipChanged(const OwnershipChanged &event);
    void slotsUnavailable(const SlotsUnavailable &event);

    /// A document came into force; its objective applies to subsequent requests.
    void documentApplied(const core::ServiceName &service, const decisions::Objective &objective,
                         core::LogOffset version);

    /// Removes the load of a backend server that this instance no longer controls.
    void removeLoad(const core::ServerName &server);

    /// Sets the newest log offset that the instance has replayed.
    void offsetReplayed(core::LogOffset offset);

    /// Returns the report as of `now`.
    ReportPart snapshot(core::TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace amaranthdale::report
