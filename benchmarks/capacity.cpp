// Growth of what one instance keeps and sends, measured in process at several sizes, with a linear
// fit and its value at the design size. `capacity.py` adds the lines that need real processes.
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
constexpr std::size_t recordsPerRead = 500; // As the daemon reads the log.

// The design size, as far as it decides a figure here. Services and slots are assumptions of
// docs/CAPACITY.md; the requirements give neither.
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

struct Line
{
    double fixed = 0;
    double slope = 0;
};

// Least squares.
Line fit(const std::vector<Point> &points)
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
    Line line;
    line.slope =
            (count * sumProduct - sumSize * sumValue) / (count * sumSquare - sumSize * sumSize);
    line.fixed = (sumValue - line.slope * sumSize) / count;
    return line;
}

void printLine(const std::string &name, const std::string &unit, const std::vector<Point> &points,
               double designSize, const std::string &budget)
{
    std::string measured;
    for (const Point &point : points) {
        char text[64];
        std::snprintf(text, sizeof text, " %.0f:%.4g", point.size, point.value);
        measured += text;
    }
    const Line line = fit(points);
    std::printf("%s | %s |%s | %.4g + %.4g n | n=%.0f: %.4g | %s\n", name.c_str(), unit.c_str(),
                measured.c_str(), line.fixed, line.slope, designSize,
                line.fixed + line.slope * designSize, budget.c_str());
    std::fflush(stdout);
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Shortest of several runs, which leaves out most of the disturbance by other processes.
double shortest(const std::function<void()> &work)
{
    double best = 0;
    for (int run = 0; run < repetitions; ++run) {
        const auto begin = std::chrono::steady_clock::now();
        work();
        const double elapsed = Microseconds(std::chrono::steady_clock::now() - begin).count();
        best = run == 0 ? elapsed : std::min(best, elapsed);
    }
    return best;
}

struct Size
{
    unsigned services = 0;
    core::SlotIndex slotsPerService = 0;
    unsigned servers = 0;
};

core::InstanceId instanceNumber(unsigned number)
{
    return {core::InstanceName("instance-" + std::to_string(number)),
            core::Incarnation(0x9e3779b97f4a7c15U + number)};
}

core::ServerName serverNumber(unsigned number)
{
    return core::ServerName("server-" + std::to_string(number));
}

// Builds a state by replay and keeps the records.
class StateBuilder
{
public:
    explicit StateBuilder(const Size &built) : size(built)
    {
        for (unsigned service = 0; service < this->size.services; ++service)
            this->addService(service);
    }

    // A takeover of the first server by its first successor.
    LogRecord nextChange() const
    {
        ControllerRecord change;
        change.server = serverNumber(0);
        const Controller &current = *this->state.findServer(change.server)->controller;
        change.controller = current.successors.front();
        change.successors = {current.instance, instanceNumber(7)};
        return this->wrap(change);
    }

    void apply(const LogRecord &record)
    {
        const core::LogOffset offset(this->state.offset().value + 1);
        if (!this->state.apply(offset, record).accepted)
            std::fprintf(stderr, "record %llu was dropped; the figures are wrong\n",
                         static_cast<unsigned long long>(offset.value));
    }

    ClusterState state;

private:
    LogRecord wrap(RecordBody body) const
    {
        return {{instanceNumber(1), this->state.offset().value + 1},
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
            BackendServer &spec = document.servers.emplace_back();
            spec.name = serverNumber(server);
            spec.dataCentre = core::DataCentreName("centre-" + std::to_string(server % 5));
            spec.endpoint = {"10.0." + std::to_string(server / 250) + ".1",
                             static_cast<std::uint16_t>(9000 + server % 250)};
        }
        this->apply(this->wrap(DocumentRecord{document}));
        for (unsigned server = first; server < end; ++server)
            this->addController(server);
        this->assignSlots(document, first, end);
    }

    void addController(unsigned server)
    {
        ControllerRecord record;
        record.server = serverNumber(server);
        record.controller = instanceNumber(server);
        record.successors = {instanceNumber(server + 1), instanceNumber(server + 2)};
        this->apply(this->wrap(record));
    }

    void assignSlots(const ServiceDocument &document, unsigned first, unsigned end)
    {
        SlotRecord record;
        record.service = document.service;
        for (unsigned server = first; server < end; ++server) {
            SlotMove &move = record.moves.emplace_back();
            move.to = serverNumber(server);
            for (core::SlotIndex slot = server - first; slot < document.hashSlots;
                 slot += end - first)
                move.slots.push_back(slot);
        }
        this->apply(this->wrap(record));
    }

    Size size;
};

const std::vector<Size> &slotSizes()
{
    static const std::vector<Size> sizes{
            {4, 1024, 1500}, {4, 16384, 1500}, {40, 1024, 1500}, {400, 1024, 1500}};
    return sizes;
}

const std::vector<Size> &serverSizes()
{
    static const std::vector<Size> sizes{{4, 1024, 34}, {4, 1024, 500}, {4, 1024, 1500}};
    return sizes;
}

struct StateFigures
{
    std::vector<Point> build;
    std::vector<Point> bytes;
    std::vector<Point> apply;
    std::vector<Point> applyAndCopy;
    std::vector<Point> snapshotBytes;
    std::vector<Point> encode;
    std::vector<Point> decode;
};

void measureState(const Size &size, double point, StateFigures &figures)
{
    const auto begin = std::chrono::steady_clock::now();
    StateBuilder builder(size);
    figures.build.push_back(
            {point, Microseconds(std::chrono::steady_clock::now() - begin).count()});
    const std::size_t before = heapBytes();
    auto copy = std::make_unique<ClusterState>(builder.state);
    figures.bytes.push_back({point, static_cast<double>(heapBytes() - before)});
    copy.reset();
    figures.apply.push_back({point, shortest([&] { builder.apply(builder.nextChange()); })});
    std::shared_ptr<const ClusterState> published;
    figures.applyAndCopy.push_back({point, shortest([&] {
                                        builder.apply(builder.nextChange());
                                        published =
                                                std::make_shared<const ClusterState>(builder.state);
                                    })});
    std::string text;
    figures.encode.push_back(
            {point, shortest([&] { text = records::encodeState(builder.state); })});
    figures.snapshotBytes.push_back({point, static_cast<double>(text.size())});
    figures.decode.push_back({point, shortest([&] {
                                  if (!records::decodeState(text))
                                      std::fprintf(stderr, "the snapshot can't be decoded\n");
                              })});
}

void printState(const StateFigures &figures, const std::string &by, double design)
{
    printLine("replay of documents and assignments by " + by, "us", figures.build, design, "-");
    printLine("cluster state by " + by, "B", figures.bytes, design, "256 MB, all of a node");
    printLine("replay of one record by " + by, "us", figures.apply, design, "-");
    printLine("replay and copy by " + by, "us", figures.applyAndCopy, design,
              "22000 us/s, all of a node");
    printLine("snapshot by " + by, "B", figures.snapshotBytes, design, "-");
    printLine("snapshot encoding by " + by, "us", figures.encode, design, "-");
    printLine("snapshot decoding by " + by, "us", figures.decode, design, "-");
}

void measureStates()
{
    StateFigures byServers;
    for (const Size &size : serverSizes())
        measureState(size, size.servers, byServers);
    printState(byServers, "servers (4096 slots)", designServers);
    StateFigures bySlots;
    for (const Size &size : slotSizes())
        measureState(size, static_cast<double>(size.services) * size.slotsPerService, bySlots);
    printState(bySlots, "slots (1500 servers)", designSlots);
}

// Decodes and replays `count` controller changes in pages, and copies the state after each page.
void measureReplay()
{
    std::vector<Point> times;
    for (const std::size_t count : {1'000U, 10'000U, 100'000U}) {
        StateBuilder builder({4, 1024, 34});
        const std::uint64_t start = builder.state.offset().value;
        ClusterState replayed = builder.state;
        std::vector<std::string> texts;
        for (std::size_t index = 0; index < count; ++index) {
            const LogRecord record = builder.nextChange();
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
    printLine("replay of a log by records (4096 slots)", "us", times, designRecordsBehind, "-");
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
                std::fprintf(stderr, "an id was refused; the figures are wrong\n");
            StoredResponse response;
            response.headers = {{"Content-Type", "application/json"}};
            response.body = std::string(100, 'x');
            ledger.complete(request, RunOutcome::Answered,
                            std::make_shared<const StoredResponse>(std::move(response)), now);
        }
        bytes.push_back({static_cast<double>(count), static_cast<double>(heapBytes() - before)});
    }
    printLine("request ledger by remembered ids (100 B responses)", "B", bytes, designLedgerIds,
              "256 MB, all of a node");
}

void measureHeartbeat()
{
    std::vector<Point> asked;
    std::vector<Point> answered;
    for (const unsigned count : {1U, 4U, 16U, 64U}) {
        peer::Heartbeat heartbeat;
        peer::HeartbeatReply reply;
        heartbeat.sender = reply.sender = instanceNumber(1);
        heartbeat.dataCentre = core::DataCentreName("centre-1");
        heartbeat.newestOffset = reply.newestOffset = core::LogOffset(1'000'000);
        heartbeat.logAge = reply.logAge = std::chrono::milliseconds(100);
        for (unsigned server = 0; server < count; ++server) {
            const peer::ServerEpoch subject{serverNumber(server), core::Epoch(1'000'000)};
            heartbeat.requestedPromises.push_back(subject);
            heartbeat.loads.push_back({subject.server, 3, 4, 1});
            heartbeat.reachable.push_back(subject.server);
            reply.promises.push_back({subject, std::chrono::milliseconds(300)});
        }
        asked.push_back({double(count), double(peer::encodeHeartbeat(heartbeat)->size())});
        answered.push_back({double(count), double(peer::encodeHeartbeatReply(reply)->size())});
    }
    printLine("heartbeat body by servers", "B", asked, designHeartbeatServers, "-");
    printLine("heartbeat reply body by servers", "B", answered, designHeartbeatServers, "-");
}

// Appends until a data centre is drained, in the model of the ownership tests.
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
        const bool settled = run.settle();
        run.run(std::chrono::seconds(3));
        const std::size_t appendsBefore = run.logSize();
        const std::size_t droppedBefore = run.recordsDropped();
        run.append(DataCentreRecord{run.servers.front()->dataCentre, true});
        run.run(std::chrono::seconds(5));
        if (!settled)
            std::fprintf(stderr, "%u instances: not every slot was served\n", proposers);
        appends.push_back({double(proposers), double(run.logSize() - appendsBefore)});
        dropped.push_back({double(proposers), double(run.recordsDropped() - droppedBefore)});
    }
    printLine("appends for a drained data centre of 3 servers by proposers", "records", appends, 9,
              "several hundred/s, all nodes");
    printLine("of these dropped", "records", dropped, 9, "-");
}

// Decisions of an engine that controls nothing and hears no peer: the search for due proposals
// over all servers.
void measureTick()
{
    std::vector<Point> times;
    for (const Size &size : serverSizes()) {
        const StateBuilder builder(size);
        OwnershipSettings settings;
        settings.self.id = instanceNumber(100'000);
        settings.self.dataCentre = core::DataCentreName("centre-1");
        core::TimePoint now = core::TimePoint(std::chrono::hours(1));
        OwnershipEngine engine(settings,
                               std::make_unique<NamedSuccessorAuthority>(settings.timings),
                               std::make_unique<RendezvousPlacement>(), now);
        std::vector<InstanceView> listed;
        for (unsigned number = 0; number < size.servers + 2; ++number)
            listed.push_back({instanceNumber(number), core::DataCentreName("centre-2"), false});
        engine.instancesListed(listed, now);
        engine.replayed(std::make_shared<const ClusterState>(builder.state), now);
        const double ticks = shortest([&] {
            for (int tick = 0; tick < 100; ++tick) {
                now += std::chrono::milliseconds(10);
                engine.logRead(now, now);
                engine.takeActions();
            }
        });
        times.push_back({static_cast<double>(size.servers), ticks});
    }
    printLine("100 searches for proposals, one second's, by servers", "us/s", times, designServers,
              "22000 us/s, all of a node");
}

} // namespace

// Without an argument, all groups of lines; else the named one.
int main(int argumentCount, char **arguments)
{
    const std::string only = argumentCount > 1 ? arguments[1] : "";
    const auto wanted = [&only](const char *group) { return only.empty() || only == group; };
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
