// HTTP handler of the operator port: health, metrics, reports and explanations.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/core/message.h"
#include "amaranthdale/report/recorder.h"
#include "tables.h"

#include <functional>

namespace amaranthdale::daemon {

/// Dependencies of the service. All must outlive it.
struct OperatorContext
{
    const Tables &tables;
    clock::Clock &clock;
    report::Recorder &recorder;
    core::HttpSender &peers;
    core::InstanceName self;
    core::DataCentreName dataCentre;
    std::function<bool()> ready; ///< The log is replayed and the instance isn't leaving.
};

/// Handles GET requests of operators and of `amaranthdalectl`.
class OperatorService : public core::RequestHandler
{
public:
    explicit OperatorService(OperatorContext operatorContext);

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

    /// Returns this instance's part of the report.
    report::ReportPart ownPart() const;

private:
    core::HttpResponse healthz() const;
    core::HttpResponse readyz() const;
    core::HttpResponse explain(std::string_view target) const;
    core::HttpResponse instances() const;
    void report(std::string_view target, core::ResponseHandler respond) const;

    OperatorContext context;
};

} // namespace amaranthdale::daemon
