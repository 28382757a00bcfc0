// Answers for operators, each from the tables as they are now.
#include "operator_service.h"

#include "amaranthdale/core/hash.h"
#include "amaranthdale/records/state_codec.h"
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

std::string percentDecoded(std::string_view text)
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

// Decoded value of a query parameter; empty when it is absent.
std::string parameter(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecoded(pair.substr(equals + 1));
    }
    return {};
}

report::Format formatNamed(std::string_view name)
{
    if (name == "json")
        return report::Format::Json;
    return name == "csv" ? report::Format::Csv : report::Format::Text;
}

std::string_view contentTypeOf(report::Format format)
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
        respond(errorResponse(405, "only GET is served here; publish changes on the log"));
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
        respond(core::makeResponse(200, records::encodeState(*this->context.shared.state())));
    else
        respond(errorResponse(404, "no such page; see docs/operations.md"));
    return nullptr;
}

HttpResponse OperatorService::healthz() const
{
    return jsonResponse(200, {{"status", "up"}, {"instance", this->context.self.value}});
}

HttpResponse OperatorService::readyz() const
{
    const StatePointer state = this->context.shared.state();
    if (!this->context.ready())
        return errorResponse(503, "the state is not replayed yet, or this instance is leaving");
    if (state->isDrained(this->context.dataCentre))
        return errorResponse(503, "operators took this data centre out of service");
    return jsonResponse(200, {{"status", "ready"}, {"offset", state->offset().value}});
}

HttpResponse OperatorService::explain(std::string_view target) const
{
    const StatePointer state = this->context.shared.state();
    const core::ServiceName name(parameter(target, "service"));
    const std::string key = parameter(target, "key");
    const decisions::ServiceState *service = state->findService(name);
    if (!service)
        return errorResponse(404, "service '" + name.value + "' has no document");
    const decisions::SlotOwner &owner = service->ownerOf(key);
    const core::SlotIndex slot =
            core::slotOf(key, service->document.hashSeed, service->document.hashSlots);
    json::object body = {
            {"service", name.value},
            {"key", key},
            {"slot", slot},
            {"hotKey", service->hotKeys.contains(key)},
            {"server", owner.server.value},
            {"sinceOffset", owner.changedAt.value},
            {"documentOffset", service->version.value},
            {"stateOffset", state->offset().value},
    };
    const decisions::ServerState *server = state->findServer(owner.server);
    if (server) {
        body["dataCentre"] = server->spec.dataCentre.value;
        body["leaving"] = server->spec.leaving || server->removed;
        body["dataCentreDrained"] = state->isDrained(server->spec.dataCentre);
    }
    if (server && server->controller) {
        body["controller"] = server->controller->instance.name.value;
        body["epoch"] = server->controller->epoch.value;
        json::array successors;
        for (const core::InstanceId &successor : server->controller->successors)
            successors.push_back(json::value(successor.name.value));
        body["successors"] = successors;
    }
    if (owner.server.empty())
        body["why"] = "no record has assigned the slot yet";
    else if (service->hotKeys.contains(key))
        body["why"] = "the record at sinceOffset moved this hot key by itself";
    else
        body["why"] = "the record at sinceOffset assigned the key's slot";
    return jsonResponse(200, body);
}

HttpResponse OperatorService::instances() const
{
    const core::TimePoint now = this->context.clock.now();
    const core::LogOffset ownOffset = this->context.shared.state()->offset();
    json::array rows;
    this->context.shared.membership.with([&](const MembershipTable &table) {
        for (const auto &[name, instance] : table.listed) {
            json::object row = {{"name", name.value},
                                {"dataCentre", instance.dataCentre.value},
                                {"leaving", instance.leaving}};
            const auto heard = table.heard.find(name);
            if (name == this->context.self) {
                row["offset"] = ownOffset.value;
                row["ageMs"] = 0;
            } else if (heard != table.heard.end() && heard->second.id == instance.id) {
                const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - heard->second.heardAt);
                row["offset"] = heard->second.offset.value;
                row["ageMs"] = age.count();
            }
            rows.push_back(std::move(row));
        }
    });
    return jsonResponse(200, {{"instances", rows}});
}

report::ReportPart OperatorService::ownPart() const
{
    const StatePointer state = this->context.shared.state();
    const auto runners =
            this->context.shared.runners.with([](const RunnerMap &map) { return map; });
    for (const auto &[name, runner] : runners) {
        const decisions::ServerState *server = state->findServer(name);
        const bool mine = server && server->controller
                && server->controller->instance.name == this->context.self;
        if (!mine)
            continue;
        const decisions::DispatcherLoad load = runner->load();
        this->context.recorder.serverLoad(
                {server->service, name, load.inFlight, load.queued, load.limit, {}});
    }
    return this->context.recorder.snapshot(this->context.clock.now());
}

void OperatorService::report(std::string_view target, core::ResponseHandler respond) const
{
    const report::Format format = formatNamed(parameter(target, "format"));
    const auto endpoints = this->context.shared.membership.with([&](const MembershipTable &table) {
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
                                                 std::string(contentTypeOf(format))));
                  });
}

} // namespace amaranthdale::daemon
