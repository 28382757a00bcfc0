// Collects the events of one instance and makes its report.
#pragma once

#include "amaranthdale/decisions/service_document.h"
#include "amaranthdale/report/report.h"

#include <memory>

namespace amaranthdale::report {

/// Who makes a report.
struct ReportSource
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
};

/// Thread-safe collector. Memory is bounded by the number of services and backend servers, not by
/// the number of requests.
class Recorder
{
public:
    explicit Recorder(ReportSource source);
    ~Recorder();
    Recorder(const Recorder &) = delete;
    Recorder &operator=(const Recorder &) = delete;

    /// `now` is the time of the event on the instance's clock; it never goes back by more than the
    /// delay between threads. Requests to a service without a document in force are counted in one
    /// row without names, since callers could otherwise grow the tables by inventing services.
    void requestFinished(const RequestFinished &event, core::TimePoint now);
    void serverLoad(const ServerLoad &event);
    void ownershipChanged(const OwnershipChanged &event);
    void slotsUnavailable(const SlotsUnavailable &event);

    /// A document came into force; its objective applies to requests from now on.
    void documentInForce(const core::ServiceName &service, const decisions::Objective &objective,
                         core::LogOffset version);

    /// A backend server is no longer controlled here: its load leaves the report.
    void forgetLoad(const core::ServerName &server);

    /// The offset that the instance has replayed.
    void offsetReplayed(core::LogOffset offset);

    /// The report as of `now`.
    ReportPart snapshot(core::TimePoint now) const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace amaranthdale::report
