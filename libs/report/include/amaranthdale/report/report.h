// A report as a plain value: made by one instance, merged from several, encoded and decoded.
#pragma once

#include "amaranthdale/core/outcome.h"
#include "amaranthdale/report/events.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranthdale::report {

/// Requests by service, data centre and backend server.
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
    // Of answered requests; the quantiles come from the last interval of the recorder.
    core::Duration latencyMean{};
    core::Duration latency50{};
    core::Duration latency95{};
    core::Duration latency99{};
    core::Duration latencyMost{};

    bool operator==(const RequestRow &) const = default;
};

/// Refusals by their reason.
struct RefusalRow
{
    core::ServiceName service;
    core::DataCentreName dataCentre;
    core::ServerName server;
    NotRunReason reason = NotRunReason::None;
    std::uint64_t requests = 0;

    bool operator==(const RefusalRow &) const = default;
};

/// Load of a backend server at its controller.
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

/// Slots that a backend server received, by cause.
struct OwnershipRow
{
    core::ServiceName service;
    core::ServerName server;
    OwnershipCause cause = OwnershipCause::Balance;
    std::uint64_t changes = 0;
    std::uint64_t slots = 0;

    bool operator==(const OwnershipRow &) const = default;
};

/// Time in which slots served nobody.
struct UnavailableRow
{
    core::ServiceName service;
    core::ServerName server;
    std::uint64_t intervals = 0;
    core::Duration longest{};
    core::Duration slotTime{}; ///< Sum over intervals of length times number of slots.

    bool operator==(const UnavailableRow &) const = default;
};

/// What spent the larger part of an error budget.
enum class Spender { Nothing, NotRun, Unknown, Slow };

std::string_view nameOf(Spender spender);

/// Use of a service's error budget over one window. A burn rate of 1 spends exactly the budget that
/// the objective allows. Refusals that the caller caused (`InvalidRequest`, `Cancelled`) don't
/// count.
struct BurnRow
{
    core::ServiceName service;
    core::Duration window{};
    double availability = 0; ///< Objective: share of requests to be answered.
    std::uint64_t requests = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    double budget = 0;   ///< Requests that may fail at this number of requests.
    double burnRate = 0; ///< (notRun + unknown) / budget.
    core::Duration latency{};
    double latencyShare = 0; ///< Objective: share of answered requests within `latency`.
    std::uint64_t slow = 0;  ///< Answered later than `latency`.
    double latencyBurnRate = 0;
    Spender spender = Spender::Nothing;

    bool operator==(const BurnRow &) const = default;
};

/// Configuration in force at an instance.
struct ConfigurationRow
{
    core::ServiceName service;
    core::LogOffset version;

    bool operator==(const ConfigurationRow &) const = default;
};

/// What one instance reports.
struct ReportPart
{
    core::InstanceName instance;
    core::DataCentreName dataCentre;
    core::LogOffset offset; ///< Replayed when the part was made.
    core::Duration age{};   ///< Time since the part was made.
    std::vector<RequestRow> requests;
    std::vector<RefusalRow> refusals;
    std::vector<LoadRow> loads;
    std::vector<OwnershipRow> ownership;
    std::vector<UnavailableRow> unavailable;
    std::vector<BurnRow> burn;
    std::vector<ConfigurationRow> configuration;

    bool operator==(const ReportPart &) const = default;
};

/// Parts of several instances, in order of their names.
struct Report
{
    std::vector<ReportPart> parts;

    bool operator==(const Report &) const = default;
};

/// Adds the parts of `from`. Of two parts of one instance the younger stays.
void mergeInto(Report &report, Report from);

/// One part with the rows of all parts added up. Counts and slot times are sums; means are weighted
/// by requests; quantiles and longest times are the largest of any instance, an upper bound, since
/// quantiles can't be added; a server's load comes from the youngest part that has it; the version
/// in force is the lowest; age is that of the oldest part.
ReportPart summarise(const Report &report);

/// Layout of a rendered report.
enum class Format { Text, Json, Csv };

/// Writes the report: in text the parts and the summary, in JSON and CSV every row of every part.
/// All layouts come from the table of columns in `src/columns.h`. Text shows no control characters,
/// and CSV no cell that a spreadsheet would run as a formula.
std::string renderReport(const Report &report, Format format);

/// The JSON layout, which `decodeReport` reads back without loss, except that doubles keep 9
/// significant digits.
std::string encodeReport(const Report &report);

/// Reads what `encodeReport` wrote; members it doesn't know are ignored, so that instances of two
/// versions can merge their reports. Fails with InvalidDocument, naming the path of the fault.
core::Result<Report> decodeReport(std::string_view text);

/// Writes a part as Prometheus text, format 0.0.4.
std::string renderMetrics(const ReportPart &part);

} // namespace amaranthdale::report
