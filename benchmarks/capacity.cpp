// Memory, message sizes and processing times of one instance, measured in process at several sizes,
// with a linear fit that is extrapolated to the design size. `capacity.py` adds the measurements
// that need real processes.
#include "amaranthdale/decisions/cluster_state.h"
#include "amaranthdale/decisions/request_ledger.h"
#include "amaranthdale/peer/messages.h"
#include "amaranthdale/records/record_codec.h"
#include "amaranthdale/records/state_codec.h"
#include "ownership_model.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

using namespace amaranthdale;
using namespace amaranthdale::decisions;

namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

constexpr int repetitions = 3;
constexpr std::size_t recordsPerRead = 500; // Page size of the daemon's log reads.

// Design size, as far as the figures here depend on it. The numbers of services and slots are
// assumptions of docs/CAPACITY.md, because the requirements give neither.
constexpr double designSlots = 409'600;
constexpr double designServers = 1'500;
constexpr double designLedgerIds = 50'000;
constexpr double designHeartbeatServers = 4;
constexpr double designRecordsBehind = 20'000;

struct Point
{
    double size = 0;
    double value = 0;
};

struct LinearFit
{
    double intercept = 0;
    double slope = 0;
};

// Ordinary least squares.
LinearFit fit(const std::vector<Point> &points)
{
    const double count = static_cast<double>(points.size());
    double sumSize = 0;
    double sumValue = 0;
    double sumSquare = 0;
    double sumProduct = 0;
    for (const Point &point : points) {
        sumSize += point.size;
        sumValue += point.value;
        sumSquare += point.size * point.size;
        sumProduct += point.size * point.value;
    }
    LinearFit result;
    result.slope =
            (count * sumProduct - sumSize * sumValue) / (count * sumSquare - sumSize * sumSize);
    result.intercept = (sumValue - result.slope * sumSize) / count;
    return result;
}

void printMeasurement(const std::string &name, const std::string &unit,
                      const std::vector<Point> &points, double designSize,
                      const std::string &budget)
{
    std::string measured;
    for (const Point &point : points) {
        char text[64];
        std::snprintf(text, sizeof text, " %.0f:%.4g", point.size, point.value);
        measured += text;
    }
    const LinearFit result = fit(points);
    std::printf("%s | %s |%s | %.4g + %.4g n | n=%.0f: %.4g | %s\n", name.c_str(), unit.c_str(),
                measured.c_str(), result.intercept, result.slope, designSize,
                result.intercept + result.slope * designSize, budget.c_str());
    std::fflush(stdout);
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Minimum time of several runs, which excludes most of the interference by other processes.
double minimumTime(const std::function<void()> &operation)
{
    double minimum = 0;
    for (int run = 0; run < repetitions; ++run) {
        const auto begin = std::chrono::steady_clock::now();
        operation();
        const double elapsed = Microseconds(std::chrono::steady_clock::now() - begin).count();
        minimum = run == 0 ? elapsed : std::min(minimum, elapsed);
    }
    return minimum;
}

struct ClusterSize
{
    unsigned services = 0;
    core::SlotIndex slotsPerService = 0;
    unsigned servers = 0;
};

core::InstanceId makeInstanceId(unsigned number)
{
    return {core::InstanceName("instance-" + std::to_string(number)),
            core::Incarnation(0x9e3779b97f4a7c15U + number)};
}

core::ServerName makeServerName(unsigned number)
{
    return core::ServerName("server-" + std::to_string(number));
}

// Builds a cluster state by applying log records.
class StateBuilder
{
public:
    explicit StateBuilder(const ClusterSize &clusterSize) : size(clusterSize)
    {
        for (unsigned service = 0; service < this->size.services; ++service)
            this->addService(service);
    }

    // Returns a record in which the first successor of the first server takes it over.
    LogRecord makeTakeover() const
    {
        ControllerRecord change;
        change.server = makeServerName(0);
        const Controller &current = *this->state.findServer(change.server)->controller;
        change.controller = current.successors.front();
        change.successors = {current.instance, makeInstanceId(7)};
        return this->makeRecord(change);
    }

    void apply(const LogRecord &record)
    {
        const core::LogOffset offset(this->state.offset().value + 1);
        if (!this->state.apply(offset, record).accepted)
            std::fprintf(stderr, "record %llu was dropped; the results are invalid\n",
                         static_cast<unsigned long long>(offset.value));
    }

    ClusterState state;

private:
    LogRecord makeRecord(RecordBody body) const
    {
        return {{makeInstanceId(1), this->state.offset().value + 1},
                this->state.offset(),
                std::move(body)};
    }

    void addService(unsigned number)
    {
        const unsigned first = this->size.servers * number / this->size.services;
        const unsigned end = this->size.servers * (number + 1) / this->size.services;
        ServiceDocument document;
        document.service = core::ServiceName("service-" + std::to_string(number));
        document.key.kind = ValueSource::Kind::Header;
        document.key.header = "X-Key";
        document.hashSlots = this->size.slotsPerService;
        for (unsigned server = first; server < end; ++server) {
            BackendServer &backend = document.servers.emplace_back();
            backend.name = makeServerName(server);
            backend.dataCentre = core::DataCentreName("centre-" + std::to_string(server % 5));
            backend.endpoint = {"10.0." + std::to_string(server / 250) + ".1",
                                static_cast<std::uint16_t>(9000 + server % 250)};
        }
        this->apply(this->makeRecord(DocumentRecord{document}));
        for (unsigned server = first; server < end; ++server)
            this->addController(server);
        this->assignSlots(document, first, end);
    }

    void addController(unsigned server)
    {
        ControllerRecord record;
        record.server = makeServerName(server);
        record.controller = makeInstanceId(server);
        record.successors = {makeInstanceId(server + 1), makeInstanceId(server + 2)};
        this->apply(this->makeRecord(record));
    }

    void assignSlots(const ServiceDocument &document, unsigned first, unsigned end)
    {
        SlotRecord record;
        record.service = document.service;
        for (unsigned server = first; server < end; ++server) {
            SlotMove &move = record.moves.emplace_back();
            move.to = makeServerName(server);
            for (core::SlotIndex slot = server - first; slot < document.hashSlots;
                 slot += end - first)
                move.slots.push_back(slot);
        }
        this->apply(this->makeRecord(record));
    }

    ClusterSize size;
};

const std::vector<ClusterSize> &slotSizes()
{
    static const std::vector<ClusterSize> sizes{
            {4, 1024, 1500}, {4, 16384, 1500}, {40, 1024, 1500}, {400, 1024, 1500}};
    return sizes;
}

const std::vector<ClusterSize> &serverSizes()
{
    static const std::vector<ClusterSize> sizes{{4, 1024, 34}, {4, 1024, 500}, {4, 1024, 1500}};
    return sizes;
}

struct StateMeasurements
{
    std::vector<Point> build;
    std::vector<Point> bytes;
    std::vector<Point> apply;
    std::vector<Point> applyAndCopy;
    std::vector<Point> snapshotBytes;
    std::vector<Point> encode;
    std::vector<Point> decode;
};

void measureState(const ClusterSize &size, double point, StateMeasurements &measurements)
{
    const auto begin = std::chrono::steady_clock::now();
    StateBuilder builder(size);
    measurements.build.push_back(
            {point, Microseconds(std::chrono::steady_clock::now() - begin).count()});
    const std::size_t before = heapBytes();
    auto copy = std::make_unique<ClusterState>(builder.state);
    measurements.bytes.push_back({point, static_cast<double>(heapBytes() - before)});
    copy.reset();
    measurements.apply.push_back(
            {point, minimumTime([&] { builder.apply(builder.makeTakeover()); })});
    std::shared_ptr<const ClusterState> published;
    measurements.applyAndCopy.push_back({point, minimumTime([&] {
                                             builder.apply(builder.makeTakeover());
                                             published = std::make_shared<const ClusterState>(
                                                     builder.state);
                                         })});
    std::string text;
    measurements.encode.push_back(
            {point, minimumTime([&] { text = records::encodeState(builder.state); })});
    measurements.snapshotBytes.push_back({point, static_cast<double>(text.size())});
    measurements.decode.push_back({point, minimumTime([&] {
                                       if (!records::decodeState(text))
                                           std::fprintf(stderr, "the snapshot can't be decoded\n");
                                   })});
}

void printState(const StateMeasurements &measurements, const std::string &dimension,
                double designSize)
{
    printMeasurement("replay of documents and assignments by " + dimension, "us",
                     measurements.build, designSize, "-");
    printMeasurement("cluster state by " + dimension, "B", measurements.bytes, designSize,
                     "256 MB, all of a node");
    printMeasurement("replay of one record by " + dimension, "us", measurements.apply, designSize,
                     "-");
    printMeasurement("replay and copy by " + dimension, "us", measurements.applyAndCopy, designSize,
                     "22000 us/s, all of a node");
    printMeasurement("snapshot by " + dimension, "B", measurements.snapshotBytes, designSize, "-");
    printMeasurement("snapshot encoding by " + dimension, "us", measurements.encode, designSize,
                     "-");
    printMeasurement("snapshot decoding by " + dimension, "us", measurements.decode, designSize,
                     "-");
}

void measureStates()
{
    StateMeasurements byServers;
    for (const ClusterSize &size : serverSizes())
        measureState(size, size.servers, byServers);
    printState(byServers, "servers (4096 slots)", designServers);
    StateMeasurements bySlots;
    for (const ClusterSize &size : slotSizes())
        measureState(size, static_cast<double>(size.services) * size.slotsPerService, bySlots);
    printState(bySlots, "slots (1500 servers)", designSlots);
}

// Decodes and replays controller changes in pages, and copies the state after each page.
void measureReplay()
{
    std::vector<Point> times;
    for (const std::size_t count : {1'000U, 10'000U, 100'000U}) {
        StateBuilder builder({4, 1024, 34});
        const std::uint64_t start = builder.state.offset().value;
        ClusterState replayed = builder.state;
        std::vector<std::string> texts;
        for (std::size_t index = 0; index < count; ++index) {
            const LogRecord record = builder.makeTakeover();
            texts.push_back(records::encodeRecord(record));
            builder.apply(record);
        }
        const auto begin = std::chrono::steady_clock::now();
        std::shared_ptr<const ClusterState> published;
        for (std::size_t index = 0; index < count; ++index) {
            const auto record = records::decodeRecord(texts[index]);
            replayed.apply(core::LogOffset(start + index + 1), record.value());
            if (index % recordsPerRead == recordsPerRead - 1)
                published = std::make_shared<const ClusterState>(replayed);
        }
        const Microseconds elapsed = std::chrono::steady_clock::now() - begin;
        times.push_back({static_cast<double>(count), elapsed.count()});
    }
    printMeasurement("replay of a log by records (4096 slots)", "us", times, designRecordsBehind,
                     "-");
}

void measureLedger()
{
    std::vector<Point> bytes;
    for (const unsigned count : {1'000U, 10'000U, 50'000U}) {
        const std::size_t before = heapBytes();
        const core::TimePoint now = core::TimePoint(std::chrono::hours(1));
        RequestLedger ledger;
        for (core::SlotIndex slot = 0; slot < 1024; ++slot)
            ledger.startSlot(slot, core::LogOffset(0), true, now);
        for (unsigned index = 0; index < count; ++index) {
            RequestInfo request;
            char id[64];
            std::snprintf(id, sizeof id, "0f8fad5b-d9cb-469f-a165-%012u", index);
            request.id = core::RequestId(id);
            request.origin = IdOrigin::Caller;
            request.slot = index % 1024;
            request.brand = core::BrandName("inkweto");
            if (ledger.begin(request, index, now).verdict != LedgerVerdict::New)
                std::fprintf(stderr, "an id was refused; the results are invalid\n");
            StoredResponse response;
            response.headers = {{"Content-Type", "application/json"}};
            response.body = std::string(100, 'x');
            ledger.complete(request, RunOutcome::Answered,
                            std::make_shared<const StoredResponse>(std::move(response)), now);
        }
        bytes.push_back({static_cast<double>(count), static_cast<double>(heapBytes() - before)});
    }
    printMeasurement("request ledger by remembered ids (100 B responses)", "B", bytes,
                     designLedgerIds, "256 MB, all of a node");
}

void measureHeartbeat()
{
    std::vector<Point> requestBytes;
    std::vector<Point> replyBytes;
    for (const unsigned count : {1U, 4U, 16U, 64U}) {
        peer::Heartbeat heartbeat;
        peer::HeartbeatReply reply;
        heartbeat.sender = reply.sender = makeInstanceId(1);
        heartbeat.dataCentre = core::DataCentreName("centre-1");
        heartbeat.newestOffset = reply.newestOffset = core::LogOffset(1'000'000);
        heartbeat.logAge = reply.logAge = std::chrono::milliseconds(100);
        for (unsigned server = 0; server < count; ++server) {
            const peer::ServerEpoch subject{makeServerName(server), core::Epoch(1'000'000)};
            heartbeat.requestedPromises.push_back(subject);
            heartbeat.loads.push_back({subject.server, 3, 4, 1});
            heartbeat.reachable.push_back(subject.server);
            reply.promises.push_back({subject, std::chrono::milliseconds(300)});
        }
        requestBytes.push_back({double(count), double(peer::encodeHeartbeat(heartbeat)->size())});
        replyBytes.push_back({double(count), double(peer::encodeHeartbeatReply(reply)->size())});
    }
    printMeasurement("heartbeat body by servers", "B", requestBytes, designHeartbeatServers, "-");
    printMeasurement("heartbeat reply body by servers", "B", replyBytes, designHeartbeatServers,
                     "-");
}

// Counts the records appended to drain a data centre, in the model of the ownership tests.
void measureProposers()
{
    std::vector<Point> appends;
    std::vector<Point> dropped;
    for (const unsigned proposers : {1U, 3U, 9U}) {
        model::ModelSettings settings;
        settings.instances = proposers;
        settings.servers = 9;
        settings.slots = 36;
        model::Model run(settings);
        const bool settled = run.runUntilServed();
        run.run(std::chrono::seconds(3));
        const std::size_t appendsBefore = run.logSize();
        const std::size_t droppedBefore = run.recordsDropped();
        run.append(DataCentreRecord{run.servers.front()->dataCentre, true});
        run.run(std::chrono::seconds(5));
        if (!settled)
            std::fprintf(stderr, "%u instances: some slots were not served\n", proposers);
        appends.push_back({double(proposers), double(run.logSize() - appendsBefore)});
        dropped.push_back({double(proposers), double(run.recordsDropped() - droppedBefore)});
    }
    printMeasurement("appends for a drained data centre of 3 servers by proposers", "records",
                     appends, 9, "several hundred/s, all nodes");
    printMeasurement("of these dropped", "records", dropped, 9, "-");
}

// Time that an engine which controls no server and receives no heartbeats takes to search all
// servers for due proposals.
void measureTick()
{
    std::vector<Point> times;
    for (const ClusterSize &size : serverSizes()) {
        const StateBuilder builder(size);
        OwnershipSettings settings;
        settings.self.id = makeInstanceId(100'000);
        settings.self.dataCentre = core::DataCentreName("centre-1");
        core::TimePoint now = core::TimePoint(std::chrono::hours(1));
        OwnershipEngine engine(settings,
                               std::make_unique<NamedSuccessorAuthority>(settings.timings),
                               std::make_unique<RendezvousPlacement>(), now);
        std::vector<InstanceView> listedInstances;
        for (unsigned number = 0; number < size.servers + 2; ++number)
            listedInstances.push_back(
                    {makeInstanceId(number), core::DataCentreName("centre-2"), false});
        engine.instancesListed(listedInstances, now);
        engine.replayed(std::make_shared<const ClusterState>(builder.state), now);
        const double searchTime = minimumTime([&] {
            for (int tick = 0; tick < 100; ++tick) {
                now += std::chrono::milliseconds(10);
                engine.logRead(now, now);
                engine.takeActions();
            }
        });
        times.push_back({static_cast<double>(size.servers), searchTime});
    }
    printMeasurement("100 searches for proposals, one second's, by servers", "us/s", times,
                     designServers, "22000 us/s, all of a node");
}

} // namespace

// Usage: benchmark_capacity [GROUP]. Runs all groups of measurements, or only the named one.
int main(int argc, char **argv)
{
    const std::string onlyGroup = argc > 1 ? argv[1] : "";
    const auto wanted = [&onlyGroup](const char *group) {
        return onlyGroup.empty() || onlyGroup == group;
    };
    std::printf("line | unit | measured (size:value) | linear fit | at the design size | budget\n");
    if (wanted("messages"))
        measureHeartbeat();
    if (wanted("proposers"))
        measureProposers();
    if (wanted("ledger"))
        measureLedger();
    if (wanted("replay"))
        measureReplay();
    if (wanted("search"))
        measureTick();
    if (wanted("state"))
        measureStates();
}
