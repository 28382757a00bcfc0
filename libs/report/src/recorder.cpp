// Aggregates the events of one instance.
#include "amaranthdale/report/recorder.h"

#include "amaranthdale/tables/guarded.h"
#include "burn.h"
#include "latency_summary.h"

#include <algorithm>
#include <array>
#include <compare>
#include <map>

namespace amaranthdale::report {

namespace {

struct RequestKey
{
    core::ServiceName service;
    core::DataCentreName dataCentre;
    core::ServerName server;

    auto operator<=>(const RequestKey &) const = default;
};

constexpr std::size_t reasonCount = static_cast<std::size_t>(NotRunReason::Cancelled) + 1;

struct RequestCounts
{
    RequestRow row;
    LatencySummary latency;
    std::array<std::uint64_t, reasonCount> refusals{};

    void add(const RequestFinished &event, core::TimePoint now)
    {
        this->row.retried += event.retried ? 1 : 0;
        this->row.hedged += event.hedged ? 1 : 0;
        switch (event.outcome) {
        case RequestOutcome::Answered:
            ++this->row.answered;
            this->latency.add(event.latency, now);
            break;
        case RequestOutcome::NotRun:
            ++this->row.notRun;
            ++this->refusals.at(static_cast<std::size_t>(event.reason));
            break;
        case RequestOutcome::Unknown:
            ++this->row.unknown;
            break;
        }
    }

    RequestRow toRow() const
    {
        RequestRow result = this->row;
        const LatencyStatistics statistics = this->latency.statistics();
        result.latencyMean = statistics.mean;
        result.latency50 = statistics.median;
        result.latency95 = statistics.percentile95;
        result.latency99 = statistics.percentile99;
        result.latencyMost = statistics.max;
        return result;
    }

    void appendRefusals(std::vector<RefusalRow> &rows) const
    {
        for (std::size_t index = 0; index < reasonCount; ++index) {
            if (this->refusals[index] > 0)
                rows.push_back(RefusalRow{this->row.service, this->row.dataCentre, this->row.server,
                                          static_cast<NotRunReason>(index), this->refusals[index]});
        }
    }
};

struct OwnershipKey
{
    core::ServiceName service;
    core::ServerName server;
    OwnershipCause cause = OwnershipCause::Balance;

    auto operator<=>(const OwnershipKey &) const = default;
};

struct Collected
{
    std::map<RequestKey, RequestCounts> requests;
    std::map<core::ServiceName, BurnCounter> burn;
    std::map<core::ServerName, LoadRow> loads;
    std::map<OwnershipKey, OwnershipRow> ownership;
    std::map<std::pair<core::ServiceName, core::ServerName>, UnavailableRow> unavailable;
    std::map<core::ServiceName, core::LogOffset> versions;
    core::LogOffset offset;
};

template<class Map, class Row>
void appendValues(const Map &map, std::vector<Row> &rows)
{
    for (const auto &[key, row] : map)
        rows.push_back(row);
}

} // namespace

struct Recorder::State
{
    explicit State(ReportSource reportSource) : source(std::move(reportSource)) { }

    const ReportSource source;
    tables::Guarded<Collected> collected{tables::LockRank::Reports};
};

Recorder::Recorder(ReportSource source) : state(std::make_unique<State>(std::move(source))) { }

Recorder::~Recorder() = default;

void Recorder::requestFinished(const RequestFinished &event, core::TimePoint now)
{
    this->state->collected.with([&](Collected &collected) {
        const bool known = collected.versions.contains(event.service);
        const RequestKey key =
                known ? RequestKey{event.service, event.dataCentre, event.server} : RequestKey{};
        const auto [found, inserted] = collected.requests.try_emplace(key);
        if (inserted) {
            found->second.row.service = key.service;
            found->second.row.dataCentre = key.dataCentre;
            found->second.row.server = key.server;
        }
        found->second.add(event, now);
        if (known)
            collected.burn[event.service].add(event, now);
    });
}

void Recorder::serverLoad(const ServerLoad &event)
{
    this->state->collected.with([&](Collected &collected) {
        collected.loads[event.server] = LoadRow{event.service, event.server, event.inFlight,
                                                event.queued,  event.limit,  event.reason};
    });
}

void Recorder::ownershipChanged(const OwnershipChanged &event)
{
    this->state->collected.with([&](Collected &collected) {
        OwnershipRow &row =
                collected.ownership[OwnershipKey{event.service, event.server, event.cause}];
        row.service = event.service;
        row.server = event.server;
        row.cause = event.cause;
        ++row.changes;
        row.slots += event.slots;
    });
}

void Recorder::slotsUnavailable(const SlotsUnavailable &event)
{
    const core::Duration length = std::max(event.end - event.begin, core::Duration());
    this->state->collected.with([&](Collected &collected) {
        UnavailableRow &row = collected.unavailable[{event.service, event.server}];
        row.service = event.service;
        row.server = event.server;
        ++row.intervals;
        row.longest = std::max(row.longest, length);
        row.slotTime += length * static_cast<std::int64_t>(event.slots);
    });
}

void Recorder::documentApplied(const core::ServiceName &service,
                               const decisions::Objective &objective, core::LogOffset version)
{
    this->state->collected.with([&](Collected &collected) {
        collected.burn[service].setObjective(objective);
        collected.versions[service] = version;
    });
}

void Recorder::removeLoad(const core::ServerName &server)
{
    this->state->collected.with([&](Collected &collected) { collected.loads.erase(server); });
}

void Recorder::offsetReplayed(core::LogOffset offset)
{
    this->state->collected.with([&](Collected &collected) { collected.offset = offset; });
}

ReportPart Recorder::snapshot(core::TimePoint now) const
{
    ReportPart part;
    part.instance = this->state->source.instance;
    part.dataCentre = this->state->source.dataCentre;
    std::as_const(this->state->collected).with([&](const Collected &collected) {
        part.offset = collected.offset;
        for (const auto &[key, counts] : collected.requests) {
            part.requests.push_back(counts.toRow());
            counts.appendRefusals(part.refusals);
        }
        appendValues(collected.loads, part.loads);
        appendValues(collected.ownership, part.ownership);
        appendValues(collected.unavailable, part.unavailable);
        for (const auto &[service, counter] : collected.burn) {
            part.burn.push_back(counter.burn(service, shortWindow, now));
            part.burn.push_back(counter.burn(service, longWindow, now));
        }
        for (const auto &[service, version] : collected.versions)
            part.configuration.push_back(ConfigurationRow{service, version});
    });
    return part;
}

} // namespace amaranthdale::report
