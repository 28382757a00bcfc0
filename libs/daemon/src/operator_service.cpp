// Responses to operators, built from the current tables.
#include "operator_service.h"

#include "amaranthdale/records/state_codec.h"
#include "amaranthdale/report/operator_views.h"
#include "report_collector.h"
#include "server_runner.h"

#include <boost/json.hpp>

namespace amaranthdale::daemon {

namespace {

namespace json = boost::json;
using core::HttpResponse;

HttpResponse jsonResponse(unsigned status, const json::value &body)
{
    return core::makeResponse(status, json::serialize(body) + "\n");
}

HttpResponse errorResponse(unsigned status, std::string_view message)
{
    return jsonResponse(status, {{"error", message}});
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escaped = text[index] == '%' && index + 2 < text.size()
                && hexDigit(text[index + 1]) >= 0 && hexDigit(text[index + 2]) >= 0;
        if (!escaped) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2]));
        index += 2;
    }
    return decoded;
}

// Percent-decoded value of a query parameter; empty if absent.
std::string queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t queryStart = target.find('?');
    std::string_view rest =
            queryStart == std::string_view::npos ? "" : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
    }
    return {};
}

report::Format parseFormat(std::string_view name)
{
    if (name == "json")
        return report::Format::Json;
    return name == "csv" ? report::Format::Csv : report::Format::Text;
}

std::string_view contentType(report::Format format)
{
    if (format == report::Format::Json)
        return "application/json";
    return format == report::Format::Csv ? "text/csv" : "text/plain";
}

} // namespace

OperatorService::OperatorService(OperatorContext operatorContext)
    : context(std::move(operatorContext))
{ }

std::shared_ptr<core::Exchange> OperatorService::handle(core::HttpRequest request,
                                                        core::ResponseHandler respond)
{
    const std::string_view target = request.target;
    const std::string_view path = target.substr(0, target.find('?'));
    if (request.method != "GET")
        respond(errorResponse(405, "only GET is supported; publish changes through the log"));
    else if (path == "/healthz")
        respond(this->healthz());
    else if (path == "/readyz")
        respond(this->readyz());
    else if (path == "/metrics")
        respond(core::makeResponse(200, report::renderMetrics(this->ownPart()),
                                   "text/plain; version=0.0.4"));
    else if (path == "/report")
        this->report(target, std::move(respond));
    else if (path == "/explain")
        respond(this->explain(target));
    else if (path == "/instances")
        respond(this->instances());
    else if (path == "/state")
        respond(core::makeResponse(200, records::encodeState(*this->context.tables.state())));
    else
        respond(errorResponse(404, "no such path; see docs/OPERATIONS.md"));
    return nullptr;
}

HttpResponse OperatorService::healthz() const
{
    return jsonResponse(200, {{"status", "up"}, {"instance", this->context.self.value}});
}

HttpResponse OperatorService::readyz() const
{
    const StatePointer state = this->context.tables.state();
    if (!this->context.ready())
        return errorResponse(503, "the log is not replayed yet, or this instance is leaving");
    if (state->isDrained(this->context.dataCentre))
        return errorResponse(503, "this data centre is drained");
    return jsonResponse(200, {{"status", "ready"}, {"offset", state->offset().value}});
}

HttpResponse OperatorService::explain(std::string_view target) const
{
    const StatePointer state = this->context.tables.state();
    const core::ServiceName service(queryParameter(target, "service"));
    const std::string key = queryParameter(target, "key");
    const auto explanation =
            core::attempt([&] { return report::explainKey(*state, service, key); });
    if (!explanation)
        return errorResponse(404, explanation.error().message);
    return core::makeResponse(200, report::encodeExplanation(*explanation) + "\n");
}

HttpResponse OperatorService::instances() const
{
    const core::TimePoint now = this->context.clock.now();
    const core::LogOffset ownOffset = this->context.tables.state()->offset();
    std::vector<report::InstanceView> views;
    this->context.tables.membership.with([&](const MembershipTable &table) {
        for (const auto &[name, instance] : table.listed) {
            report::InstanceView &view = views.emplace_back();
            view.name = name;
            view.dataCentre = instance.dataCentre;
            view.leaving = instance.leaving;
            const auto heard = table.reports.find(name);
            if (name == this->context.self)
                view.lastHeartbeat = report::HeartbeatOffset{ownOffset, {}};
            else if (heard != table.reports.end() && heard->second.id == instance.id)
                view.lastHeartbeat = report::HeartbeatOffset{heard->second.offset,
                                                             now - heard->second.receivedAt};
        }
    });
    return core::makeResponse(200, report::encodeInstances(views) + "\n");
}

report::ReportPart OperatorService::ownPart() const
{
    const StatePointer state = this->context.tables.state();
    const auto runners =
            this->context.tables.runners.with([](const RunnerMap &map) { return map; });
    for (const auto &[name, runner] : runners) {
        const decisions::ServerState *server = state->findServer(name);
        const bool isController = server && server->controller
                && server->controller->instance.name == this->context.self;
        if (!isController)
            continue;
        const decisions::DispatcherLoad load = runner->load();
        this->context.recorder.serverLoad({server->service, name, load.inFlight, load.queued,
                                           load.limit, runner->limitReason()});
    }
    return this->context.recorder.snapshot(this->context.clock.now());
}

void OperatorService::report(std::string_view target, core::ResponseHandler respond) const
{
    const report::Format format = parseFormat(queryParameter(target, "format"));
    const auto endpoints = this->context.tables.membership.with([&](const MembershipTable &table) {
        std::vector<core::Endpoint> found;
        for (const auto &[name, instance] : table.listed) {
            if (name != this->context.self)
                found.push_back(instance.peerEndpoint);
        }
        return found;
    });
    collectReport(this->context.peers, endpoints, this->ownPart(),
                  [format, respond = std::move(respond)](const report::Report &merged) {
                      respond(core::makeResponse(200, report::renderReport(merged, format),
                                                 std::string(contentType(format))));
                  });
}

} // namespace amaranthdale::daemon
