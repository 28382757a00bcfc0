// Merging and aggregation of the parts of several instances.
#include "amaranthdale/report/report.h"

#include "burn.h"

#include <algorithm>
#include <tuple>

namespace amaranthdale::report {

namespace {

auto keyOf(const RequestRow &row)
{
    return std::tie(row.service, row.dataCentre, row.server);
}

auto keyOf(const RefusalRow &row)
{
    return std::tie(row.service, row.dataCentre, row.server, row.reason);
}

auto keyOf(const LoadRow &row)
{
    return std::tie(row.service, row.server);
}

auto keyOf(const OwnershipRow &row)
{
    return std::tie(row.service, row.server, row.cause);
}

auto keyOf(const UnavailableRow &row)
{
    return std::tie(row.service, row.server);
}

auto keyOf(const BurnRow &row)
{
    return std::tie(row.service, row.window);
}

auto keyOf(const ConfigurationRow &row)
{
    return std::tie(row.service);
}

core::Duration weightedMean(const RequestRow &left, const RequestRow &right)
{
    const auto leftWeight = static_cast<double>(left.answered);
    const auto rightWeight = static_cast<double>(right.answered);
    if (leftWeight + rightWeight == 0)
        return {};
    const double sum = leftWeight * static_cast<double>(left.latencyMean.count())
            + rightWeight * static_cast<double>(right.latencyMean.count());
    return core::Duration(static_cast<std::int64_t>(sum / (leftWeight + rightWeight)));
}

void add(RequestRow &sum, const RequestRow &row)
{
    sum.latencyMean = weightedMean(sum, row);
    sum.answered += row.answered;
    sum.notRun += row.notRun;
    sum.unknown += row.unknown;
    sum.retried += row.retried;
    sum.hedged += row.hedged;
    sum.latency50 = std::max(sum.latency50, row.latency50);
    sum.latency95 = std::max(sum.latency95, row.latency95);
    sum.latency99 = std::max(sum.latency99, row.latency99);
    sum.latencyMost = std::max(sum.latencyMost, row.latencyMost);
}

void add(RefusalRow &sum, const RefusalRow &row)
{
    sum.requests += row.requests;
}

// Parts are added in ascending order of age, so the first row is the most recent.
void add(LoadRow &, const LoadRow &) { }

void add(OwnershipRow &sum, const OwnershipRow &row)
{
    sum.changes += row.changes;
    sum.slots += row.slots;
}

void add(UnavailableRow &sum, const UnavailableRow &row)
{
    sum.intervals += row.intervals;
    sum.longest = std::max(sum.longest, row.longest);
    sum.slotTime += row.slotTime;
}

// Objectives are those of the most recent part.
void add(BurnRow &sum, const BurnRow &row)
{
    sum.requests += row.requests;
    sum.notRun += row.notRun;
    sum.unknown += row.unknown;
    sum.slow += row.slow;
    computeBurnRates(sum);
}

void add(ConfigurationRow &sum, const ConfigurationRow &row)
{
    sum.version = std::min(sum.version, row.version);
}

template<class Row>
void addRows(std::vector<Row> &sums, const std::vector<Row> &rows)
{
    for (const Row &row : rows) {
        const auto found = std::lower_bound(
                sums.begin(), sums.end(), row,
                [](const Row &left, const Row &right) { return keyOf(left) < keyOf(right); });
        if (found != sums.end() && keyOf(*found) == keyOf(row))
            add(*found, row);
        else
            sums.insert(found, row);
    }
}

} // namespace

void mergeInto(Report &report, Report from)
{
    for (ReportPart &part : from.parts) {
        const auto found = std::lower_bound(report.parts.begin(), report.parts.end(), part.instance,
                                            [](const ReportPart &existing, const auto &name) {
                                                return existing.instance < name;
                                            });
        if (found == report.parts.end() || found->instance != part.instance)
            report.parts.insert(found, std::move(part));
        else if (part.age < found->age)
            *found = std::move(part);
    }
}

ReportPart summarise(const Report &report)
{
    std::vector<const ReportPart *> byAge;
    for (const ReportPart &part : report.parts)
        byAge.push_back(&part);
    std::stable_sort(byAge.begin(), byAge.end(),
                     [](const auto *left, const auto *right) { return left->age < right->age; });

    ReportPart sum;
    for (const ReportPart *part : byAge) {
        const bool first = part == byAge.front();
        sum.offset = first ? part->offset : std::min(sum.offset, part->offset);
        sum.age = part->age;
        addRows(sum.requests, part->requests);
        addRows(sum.refusals, part->refusals);
        addRows(sum.loads, part->loads);
        addRows(sum.ownership, part->ownership);
        addRows(sum.unavailable, part->unavailable);
        addRows(sum.burn, part->burn);
        addRows(sum.configuration, part->configuration);
    }
    return sum;
}

} // namespace amaranthdale::report
