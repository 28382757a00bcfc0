// A report as a value type: created by one instance, merged from several, encoded and decoded.
#pragma once

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/report/events.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::report {

/// Request counts and latencies by service, data centre and backend server.
struct RequestRow
{
    core::ServiceName service;
    core::DataCentreName dataCentre;
    core::ServerName server;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retried = 0;
    std::uint64_t hedged = 0;
    // Latencies of answered requests in the recorder's last interval.
    core::Duration latencyMean{};
    core::Duration latency50{};
    core::Duration latency95{};
    core::Duration latency99{};
    core::Duration latencyMost{};

    bool operator==(const RequestRow &) const = default;
};

/// Refused requests by reason.
struct RefusalRow
{
    core::ServiceName service;
    core::DataCentreName dataCentre;
    core::ServerName server;
    NotRunReason reason = NotRunReason::None;
    std::uint64_t requests = 0;

    bool operator==(const RefusalRow &) const = default;
};

/// Load of a backend server as measured by its controller.
struct LoadRow
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t inFlight = 0;
    std::uint64_t queued = 0;
    std::uint64_t limit = 0;
    LimitReason reason = LimitReason::Start;

    bool operator==(const LoadRow &) const = default;
};

/// Slots assigned to a backend server, by cause.
struct OwnershipRow
{
    core::ServiceName service;
    core::ServerName server;
    OwnershipCause cause = OwnershipCause::Balance;
    std::uint64_t changes = 0;
    std::uint64_t slots = 0;

    bool operator==(const OwnershipRow &) const = default;
};

/// Time in which slots of a backend server were unavailable.
struct UnavailableRow
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t intervals = 0;
    core::Duration longest{};
    core::Duration slotTime{}; ///< Sum over all intervals of duration times slot count.

    bool operator==(const UnavailableRow &) const = default;
};

/// Kind of failure that consumed most of an error budget.
enum class Spender { Nothing, NotRun, Unknown, Slow };

std::string_view nameOf(Spender spender);

/// Error budget consumption of a service over one window. A burn rate of 1 consumes exactly the
/// budget that the objective allows. Refusals caused by the caller (`InvalidRequest`, `Cancelled`)
/// are excluded.
struct BurnRow
{
    core::ServiceName service;
    core::Duration window{};
    double availability = 0; ///< Objective: fraction of requests to be answered.
    std::uint64_t requests = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    double budget = 0;   ///< Failures that the objective allows for `requests`.
    double burnRate = 0; ///< (notRun + unknown) / budget.
    core::Duration latency{};
    double latencyShare = 0; ///< Objective: fraction of answered requests within `latency`.
    std::uint64_t slow = 0;  ///< Answered requests that took longer than `latency`.
    double latencyBurnRate = 0;
    Spender spender = Spender::Nothing;

    bool operator==(const BurnRow &) const = default;
};

/// Version of the service document in force at an instance.
struct ConfigurationRow
{
    core::ServiceName service;
    core::LogOffset version;

    bool operator==(const ConfigurationRow &) const = default;
};

/// Report of a single instance.
struct ReportPart
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
    core::LogOffset offset; ///< Newest offset replayed when the part was created.
    core::Duration age{};   ///< Time since the part was created.
    std::vector<RequestRow> requests;
    std::vector<RefusalRow> refusals;
    std::vector<LoadRow> loads;
    std::vector<OwnershipRow> ownership;
    std::vector<UnavailableRow> unavailable;
    std::vector<BurnRow> burn;
    std::vector<ConfigurationRow> configuration;

    bool operator==(const ReportPart &) const = default;
};

/// Parts of several instances, sorted by instance name.
struct Report
{
    std::vector<ReportPart> parts;

    bool operator==(const Report &) const = default;
};

/// Merges the parts of `from` into `report`. Of two parts of one instance the more recent is kept.
void mergeInto(Report &report, Report from);

/// Aggregates the rows of all parts into one part. Counts and slot times are summed; means are
/// weighted by answered requests; quantiles and maxima are the largest of any instance, which is an
/// upper bound, since quantiles can't be added; a server's load comes from the most recent part
/// that has it; the version in force is the lowest; the age is that of the oldest part.
ReportPart summarise(const Report &report);

/// Output format of a rendered report.
enum class Format { Text, Json, Csv };

/// Renders the report: text shows the parts and the summary, JSON and CSV every row of every part.
/// All formats are generated from the column definitions in `src/columns.h`. Text contains no
/// control characters, and CSV no cell that a spreadsheet would evaluate as a formula.
std::string renderReport(const Report &report, Format format);

/// Encodes the report as JSON. `decodeReport` restores it without loss, except that doubles keep 9
/// significant digits.
std::string encodeReport(const Report &report);

/// Decodes the output of `encodeReport`. Unknown members are ignored, so that instances of
/// different versions can merge their reports. Fails with InvalidDocument and the path of the
/// invalid member.
core::Result<Report> decodeReport(std::string_view text);

/// Renders a part in the Prometheus text exposition format, version 0.0.4.
std::string renderMetrics(const ReportPart &part);

} // namespace amaranthdale::report
