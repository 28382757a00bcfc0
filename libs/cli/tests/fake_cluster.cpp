// In-memory cluster behind an HttpSender.
#include "fake_cluster.h"

#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/state_codec.h"
#include "amaranthdale/report/operator_views.h"
#include "amaranthdale/report/report.h"

namespace amaranthdale::cli {

namespace {

constexpr std::uint16_t logPort = 7000;

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    return std::stoull(target.substr(target.find(name + "=") + name.size() + 1));
}

} // namespace

std::shared_ptr<core::Exchange> FakeCluster::send(const core::Endpoint &to,
                                                  core::HttpRequest request, core::Duration,
                                                  core::ResponseHandler handler)
{
    handler(to.port == logPort ? this->respondAsLog(request)
                               : this->respondAsInstance(request.target));
    return nullptr;
}

decisions::ClusterState FakeCluster::state() const
{
    decisions::ClusterState state;
    for (std::size_t index = 0; index < this->records.size(); ++index) {
        const auto record = records::decodeRecord(this->records[index]);
        if (record)
            state.apply(core::LogOffset(index + 1), *record);
        else
            state.skip(core::LogOffset(index + 1));
    }
    return state;
}

core::Outcome<core::HttpResponse> FakeCluster::respondAsLog(const core::HttpRequest &request)
{
    if (this->logError)
        return *this->logError;
    if (request.method == "GET")
        return core::makeResponse(200, this->readRecords(request.target));
    if (const auto hook = std::exchange(this->beforeAppend, nullptr))
        hook();
    this->append(request.body);
    if (this->loseAppendResponse)
        return core::Error{core::ErrorKind::ConnectionLost, "connection lost; read the log"};
    return core::makeResponse(200, "{\"offset\":" + std::to_string(this->records.size()) + "}");
}

std::string FakeCluster::readRecords(const std::string &target) const
{
    boost::json::array entries;
    const std::size_t from = queryNumber(target, "from");
    const std::size_t maxRecords = queryNumber(target, "max");
    for (std::size_t offset = from; offset <= this->records.size() && entries.size() < maxRecords;
         ++offset)
        entries.push_back(
                boost::json::object{{"offset", offset}, {"body", this->records[offset - 1]}});
    return boost::json::serialize(boost::json::object{
            {"first", 1}, {"next", this->records.size() + 1}, {"records", std::move(entries)}});
}

core::Outcome<core::HttpResponse> FakeCluster::respondAsInstance(const std::string &target)
{
    this->targets.push_back(target);
    if (target == "/state")
        return core::makeResponse(200, records::encodeState(this->state()));
    if (target == "/report?format=json") {
        report::ReportPart part;
        part.instance = core::InstanceName("i1");
        return core::makeResponse(200, report::encodeReport(report::Report{{part}}));
    }
    if (target == "/instances") {
        std::vector<report::InstanceView> views;
        for (const auto &[name, offset] : this->instances) {
            const std::uint64_t replayed = this->instancesFollow ? this->records.size() : offset;
            report::InstanceView &view = views.emplace_back();
            view.name = core::InstanceName(name);
            view.lastHeartbeat = report::HeartbeatOffset{core::LogOffset(replayed), {}};
        }
        views.insert(views.end(), this->otherInstances.begin(), this->otherInstances.end());
        return core::makeResponse(200, report::encodeInstances(views));
    }
    if (target.starts_with("/explain?service=stockroom&")) {
        const auto explanation = core::attempt([this] {
            return report::explainKey(this->state(), core::ServiceName("stockroom"), "any");
        });
        if (explanation)
            return core::makeResponse(200, report::encodeExplanation(*explanation));
    }
    return core::makeResponse(404, "no such thing");
}

} // namespace amaranthdale::cli
