// Prometheus text format of a report part.
#include "names.h"

#include <cstdio>

namespace amaranthdale::report {

namespace {

struct Label
{
    std::string_view name;
    std::string_view value;
};

std::string formatNumber(double number)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.12g", number);
    return text;
}

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Writes metrics one after another; the format requires all samples of a metric to be contiguous.
class MetricsWriter
{
public:
    void beginMetric(std::string_view metricName, std::string_view type, std::string_view help)
    {
        this->name = "amaranthdale_";
        this->name += metricName;
        this->text += "# HELP " + this->name + " ";
        this->text += help;
        this->text += "\n# TYPE " + this->name + " ";
        this->text += type;
        this->text += "\n";
    }

    void sample(std::initializer_list<Label> labels, std::string value)
    {
        this->text += this->name;
        char separator = '{';
        for (const Label &label : labels) {
            this->text += separator;
            separator = ',';
            this->text += label.name;
            this->text += "=\"";
            this->appendEscaped(label.value);
            this->text += "\"";
        }
        if (labels.size() > 0)
            this->text += "}";
        this->text += " " + value + "\n";
    }

    void sample(std::initializer_list<Label> labels, std::uint64_t value)
    {
        this->sample(labels, std::to_string(value));
    }

    void sample(std::initializer_list<Label> labels, double value)
    {
        this->sample(labels, formatNumber(value));
    }

    std::string take() { return std::move(this->text); }

private:
    void appendEscaped(std::string_view value)
    {
        for (const char character : value) {
            if (character == '\n') {
                this->text += "\\n";
                continue;
            }
            if (character == '"' || character == '\\')
                this->text += '\\';
            this->text += character;
        }
    }

    std::string name;
    std::string text;
};

void writeRequests(MetricsWriter &writer, const ReportPart &part)
{
    writer.beginMetric("requests_total", "counter", "Requests by outcome.");
    for (const RequestRow &row : part.requests) {
        const auto sample = [&](RequestOutcome outcome, std::uint64_t count) {
            writer.sample({{"service", row.service.value},
                           {"data_centre", row.dataCentre.value},
                           {"server", row.server.value},
                           {"outcome", nameOf(outcome)}},
                          count);
        };
        sample(RequestOutcome::Answered, row.answered);
        sample(RequestOutcome::NotRun, row.notRun);
        sample(RequestOutcome::Unknown, row.unknown);
    }
    writer.beginMetric("requests_retried_total", "counter",
                       "Requests that were sent more than once.");
    for (const RequestRow &row : part.requests)
        writer.sample({{"service", row.service.value}, {"server", row.server.value}}, row.retried);
    writer.beginMetric("requests_hedged_total", "counter", "Requests with a hedge.");
    for (const RequestRow &row : part.requests)
        writer.sample({{"service", row.service.value}, {"server", row.server.value}}, row.hedged);
    writer.beginMetric("refusals_total", "counter", "Requests that were not run, by reason.");
    for (const RefusalRow &row : part.refusals)
        writer.sample({{"service", row.service.value},
                       {"server", row.server.value},
                       {"reason", nameOf(row.reason)}},
                      row.requests);
    writer.beginMetric("request_latency_seconds", "gauge", "Quantiles of the last interval.");
    for (const RequestRow &row : part.requests) {
        const auto sample = [&](std::string_view quantile, core::Duration latency) {
            writer.sample({{"service", row.service.value},
                           {"server", row.server.value},
                           {"quantile", quantile}},
                          seconds(latency));
        };
        sample("0.5", row.latency50);
        sample("0.95", row.latency95);
        sample("0.99", row.latency99);
    }
}

void writeLoads(MetricsWriter &writer, const ReportPart &part)
{
    const auto gauge = [&](std::string_view name, std::string_view help,
                           std::uint64_t LoadRow::*member) {
        writer.beginMetric(name, "gauge", help);
        for (const LoadRow &row : part.loads)
            writer.sample({{"service", row.service.value}, {"server", row.server.value}},
                          row.*member);
    };
    gauge("server_in_flight", "Requests in flight at the backend server.", &LoadRow::inFlight);
    gauge("server_queued", "Requests that wait for the backend server.", &LoadRow::queued);
    gauge("server_limit", "Concurrency limit of the backend server.", &LoadRow::limit);
}

void writeOwnership(MetricsWriter &writer, const ReportPart &part)
{
    writer.beginMetric("slots_received_total", "counter",
                       "Slots that a server received, by cause.");
    for (const OwnershipRow &row : part.ownership)
        writer.sample({{"service", row.service.value},
                       {"server", row.server.value},
                       {"cause", nameOf(row.cause)}},
                      row.slots);
    writer.beginMetric("unavailable_slot_seconds_total", "counter",
                       "Seconds without service, summed over slots.");
    for (const UnavailableRow &row : part.unavailable)
        writer.sample({{"service", row.service.value}, {"server", row.server.value}},
                      seconds(row.slotTime));
}

void writeBurn(MetricsWriter &writer, const ReportPart &part)
{
    writer.beginMetric("budget_burn_rate", "gauge",
                       "Error budget spent relative to the objective.");
    for (const BurnRow &row : part.burn) {
        const std::string window = formatNumber(seconds(row.window));
        writer.sample({{"service", row.service.value},
                       {"window_seconds", window},
                       {"objective", "availability"}},
                      row.burnRate);
        writer.sample({{"service", row.service.value},
                       {"window_seconds", window},
                       {"objective", "latency"}},
                      row.latencyBurnRate);
    }
}

void writeConfiguration(MetricsWriter &writer, const ReportPart &part)
{
    writer.beginMetric("replayed_offset", "gauge", "Offset of the last record replayed.");
    writer.sample({}, part.offset.value);
    writer.beginMetric("document_version", "gauge", "Offset of the service document in force.");
    for (const ConfigurationRow &row : part.configuration)
        writer.sample({{"service", row.service.value}}, row.version.value);
}

} // namespace

std::string renderMetrics(const ReportPart &part)
{
    MetricsWriter writer;
    writeRequests(writer, part);
    writeLoads(writer, part);
    writeOwnership(writer, part);
    writeBurn(writer, part);
    writeConfiguration(writer, part);
    return writer.take();
}

} // namespace amaranthdale::report
