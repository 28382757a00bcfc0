// Cases of the fault matrix, and the injection of faults into the model.
#include "ownership_faults.h"

#include <algorithm>

namespace amaranthdale::decisions::model {

namespace {

// Processes that each Target refers to, determined before the first fault.
struct FaultTargets
{
    ModelServer *server = nullptr;
    ModelInstance *controller = nullptr;
    ModelInstance *first = nullptr;
    ModelInstance *second = nullptr;
    ModelInstance *otherInstance = nullptr;

    explicit FaultTargets(Model &model)
        : server(&model.serverOfSlot(0)), controller(&model.controllerOf(*this->server)),
          first(&model.successorOf(*this->server, 0)), second(&model.successorOf(*this->server, 1))
    {
        for (const auto &each : model.instances) {
            const bool hasRole = each.get() == this->controller || each.get() == this->first
                    || each.get() == this->second;
            if (!hasRole && !this->otherInstance)
                this->otherInstance = each.get();
        }
    }

    ModelInstance *instance(Target target) const
    {
        switch (target) {
        case Target::Controller:
            return this->controller;
        case Target::FirstSuccessor:
            return this->first;
        case Target::SecondSuccessor:
            return this->second;
        case Target::OtherInstance:
            return this->otherInstance;
        default:
            return nullptr;
        }
    }

    std::vector<Process *> processes(Model &model, Target target) const
    {
        if (target == Target::Server)
            return {this->server};
        if (target != Target::All)
            return {this->instance(target)};
        std::vector<Process *> all;
        for (const auto &each : model.instances)
            all.push_back(each.get());
        return all;
    }
};

void restart(Model &model, Process &process)
{
    for (const auto &instance : model.instances) {
        if (instance.get() == &process)
            model.restartInstance(*instance);
    }
    for (const auto &server : model.servers) {
        if (server.get() == &process)
            model.restartServer(*server);
    }
}

void drain(Model &model, const ModelServer &server)
{
    ServiceDocument document = model.referenceState().services().begin()->second.document;
    for (BackendServer &each : document.servers)
        each.leaving = each.leaving || each.name.value == server.name;
    model.append(DocumentRecord{document});
}

void partitionFromLog(Model &model, const FaultTargets &roles)
{
    std::set<std::string> side{roles.controller->name, roles.first->name, roles.second->name,
                               roles.server->name};
    for (std::size_t index = 0; index < model.servers.size(); index += 2)
        side.insert(model.servers[index]->name);
    model.isolate(side);
}

void begin(Model &model, const FaultTargets &roles, const Fault &fault)
{
    ModelInstance *instance = roles.instance(fault.target);
    switch (fault.kind) {
    case FaultKind::Kill:
    case FaultKind::Restart:
        for (Process *process : roles.processes(model, fault.target))
            model.kill(*process);
        break;
    case FaultKind::Freeze:
        for (Process *process : roles.processes(model, fault.target))
            model.freeze(*process);
        break;
    case FaultKind::Isolate:
        model.isolate({roles.processes(model, fault.target).front()->name});
        break;
    case FaultKind::IsolateWithServer:
        model.isolate({instance->name, roles.server->name});
        break;
    case FaultKind::CutToLog:
        model.cut(instance->name, "log");
        model.cut("log", instance->name);
        break;
    case FaultKind::CutToServer:
        model.cut(roles.controller->name, roles.server->name);
        model.cut(roles.server->name, roles.controller->name);
        break;
    case FaultKind::CutToSuccessor:
        model.cut(instance->name, roles.first->name);
        break;
    case FaultKind::LogOutage:
        model.logDown = true;
        break;
    case FaultKind::LostResponses:
        model.responseLossRate = 0.5;
        break;
    case FaultKind::DelayedAppends:
        model.appendDelay = milliseconds(400);
        break;
    case FaultKind::PartitionOfLog:
        partitionFromLog(model, roles);
        break;
    case FaultKind::Leave:
        instance->engine->leave(model.clock.now());
        break;
    case FaultKind::DrainServer:
        drain(model, *roles.server);
        break;
    }
}

void end(Model &model, const FaultTargets &roles, const Fault &fault)
{
    if (fault.kind == FaultKind::Freeze) {
        for (Process *process : roles.processes(model, fault.target))
            model.resume(*process);
    }
    if (fault.kind == FaultKind::Restart) {
        for (Process *process : roles.processes(model, fault.target))
            restart(model, *process);
    }
    if (fault.kind == FaultKind::LogOutage)
        model.logDown = false;
    if (fault.kind == FaultKind::LostResponses)
        model.responseLossRate = 0;
    if (fault.kind == FaultKind::DelayedAppends)
        model.appendDelay = milliseconds(0);
    const bool isCut = fault.kind == FaultKind::Isolate
            || fault.kind == FaultKind::IsolateWithServer || fault.kind == FaultKind::CutToLog
            || fault.kind == FaultKind::CutToServer || fault.kind == FaultKind::CutToSuccessor
            || fault.kind == FaultKind::PartitionOfLog;
    if (isCut)
        model.restoreLinks();
}

// The start or end of a fault.
struct Event
{
    milliseconds at;
    const Fault *fault;
    bool isEnd;
};

std::vector<Event> eventsOf(const FaultCase &fault)
{
    std::vector<Event> events;
    for (const Fault &each : fault.faults) {
        events.push_back({each.at, &each, false});
        if (each.length > milliseconds(0))
            events.push_back({each.at + each.length, &each, true});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return a.at < b.at; });
    return events;
}

std::vector<FaultCase> makeMatrix()
{
    using K = FaultKind;
    using T = Target;
    using Ms = milliseconds;
    return {
            {"controller lost", {{K::Kill, T::Controller}}, Ms(3000), Ms(500)},
            {"server lost", {{K::Kill, T::Server}}, Ms(3000), Ms(500)},
            {"controller and server lost", {{K::Kill, T::Controller}, {K::Kill, T::Server}}},
            {"server lost, then its controller",
             {{K::Kill, T::Server}, {K::Kill, T::Controller, Ms(150)}},
             Ms(3000),
             Ms(1150)}, // 1 s after the second loss
            {"controller lost, then the server at takeover",
             {{K::Kill, T::Controller}, {K::Kill, T::Server, Ms(320)}}},
            {"controller and first successor lost",
             {{K::Kill, T::Controller}, {K::Kill, T::FirstSuccessor}}},
            {"both successors lost", {{K::Kill, T::FirstSuccessor}, {K::Kill, T::SecondSuccessor}}},
            {"log outage of 60 s", {{K::LogOutage, T::None, Ms(0), Ms(60000)}}, Ms(62000), Ms(0)},
            {"log outage and controller lost",
             {{K::LogOutage, T::None, Ms(0), Ms(3000)}, {K::Kill, T::Controller, Ms(500)}},
             Ms(6000),
             Ms(3500)},
            {"log outage and server lost",
             {{K::LogOutage, T::None, Ms(0), Ms(3000)}, {K::Kill, T::Server, Ms(500)}},
             Ms(6000),
             Ms(3500)},
            {"log outage and successor lost",
             {{K::LogOutage, T::None, Ms(0), Ms(3000)}, {K::Kill, T::FirstSuccessor, Ms(500)}},
             Ms(6000),
             Ms(3500)},
            {"controller isolated", {{K::Isolate, T::Controller}}},
            {"controller isolated for 2 s",
             {{K::Isolate, T::Controller, Ms(0), Ms(2000)}},
             Ms(5000)},
            {"controller isolated together with its server",
             {{K::IsolateWithServer, T::Controller}}},
            {"controller cut off from the log", {{K::CutToLog, T::Controller}}, Ms(3000), Ms(0)},
            {"controller cut off from its server", {{K::CutToServer, T::Controller}}},
            {"controller's messages to a successor lost",
             {{K::CutToSuccessor, T::Controller, Ms(0), Ms(2000)}}},
            {"controller frozen for 1 s",
             {{K::Freeze, T::Controller, Ms(0), Ms(1000)}},
             Ms(4000),
             Ms(500)},
            {"controller frozen for 280 ms",
             {{K::Freeze, T::Controller, Ms(0), Ms(280)}},
             Ms(3000),
             Ms(500)},
            {"server frozen for 1 s", {{K::Freeze, T::Server, Ms(0), Ms(1000)}}, Ms(4000)},
            {"controller and server frozen for 1 s",
             {{K::Freeze, T::Controller, Ms(0), Ms(1000)}, {K::Freeze, T::Server, Ms(0), Ms(1000)}},
             Ms(4000)},
            {"server restarted cold in 50 ms", {{K::Restart, T::Server, Ms(0), Ms(50)}}},
            {"controller restarted cold in 50 ms", {{K::Restart, T::Controller, Ms(0), Ms(50)}}},
            {"all instances restarted", {{K::Restart, T::All, Ms(0), Ms(200)}}, Ms(6000), Ms(3000)},
            {"controller lost while responses of appends are lost",
             {{K::LostResponses, T::None, Ms(0), Ms(2500)}, {K::Kill, T::Controller, Ms(100)}}},
            {"controller lost while appends are delayed",
             {{K::DelayedAppends, T::None, Ms(0), Ms(2500)}, {K::Kill, T::Controller, Ms(100)}}},
            {"controller frozen while appends are delayed",
             {{K::DelayedAppends, T::None, Ms(0), Ms(2500)},
              {K::Freeze, T::Controller, Ms(100), Ms(500)}},
             Ms(4000)},
            {"partition that leaves the log on the other side",
             {{K::PartitionOfLog, T::Controller, Ms(0), Ms(15000)}},
             Ms(20000),
             Ms(16000)},
            {"planned shutdown of the controller", {{K::Leave, T::Controller}}, Ms(3000), Ms(100)},
            {"server drained", {{K::DrainServer, T::Server}}, Ms(3000), Ms(100)},
            {"server drained while the controller is lost",
             {{K::DrainServer, T::Server}, {K::Kill, T::Controller, Ms(5)}}},
            {"unfenced: controller lost", {{K::Kill, T::Controller}}, Ms(4000), Ms(1100), false},
            {"unfenced: controller isolated together with its server",
             {{K::IsolateWithServer, T::Controller}},
             Ms(4000),
             Ms(1500),
             false},
            {"unfenced: server lost", {{K::Kill, T::Server}}, Ms(4000), Ms(1000), false},
            {"unfenced: controller and server lost",
             {{K::Kill, T::Controller}, {K::Kill, T::Server}},
             Ms(4000),
             Ms(1500),
             false},
            {"unfenced: controller frozen for 1 s",
             {{K::Freeze, T::Controller, Ms(0), Ms(1000)}},
             Ms(4000),
             Ms(1100),
             false},
            {"unfenced: server frozen for 2 s",
             {{K::Freeze, T::Server, Ms(0), Ms(2000)}},
             Ms(4000),
             Ms(1000),
             false},
            {"unfenced: log outage of 60 s",
             {{K::LogOutage, T::None, Ms(0), Ms(60000)}},
             Ms(62000),
             Ms(0),
             false},
    };
}

} // namespace

const std::vector<FaultCase> &faultMatrix()
{
    static const std::vector<FaultCase> matrix = makeMatrix();
    return matrix;
}

FaultResult runCase(const FaultCase &fault, std::uint64_t seed, const PolicyFactory &policy)
{
    ModelSettings settings;
    settings.seed = seed;
    settings.checksFence = fault.checksFence;
    settings.policy = policy;
    Model model(settings);
    FaultResult result;
    result.settled = model.runUntilServed();
    if (!result.settled)
        return result;
    // Waits until the first controllers' takeover waits are over. The offset by seed makes faults
    // start at different phases of heartbeats and grant renewals.
    model.run(milliseconds(1500 + seed * 37 % 100));

    const FaultTargets roles(model);
    model.startMeasuring();
    milliseconds passed(0);
    for (const Event &event : eventsOf(fault)) {
        model.run(event.at - passed);
        passed = event.at;
        if (event.isEnd)
            end(model, roles, *event.fault);
        else
            begin(model, roles, *event.fault);
    }
    model.run(std::max(milliseconds(0), fault.duration - passed));
    result.longestGap = std::chrono::duration_cast<milliseconds>(model.longestGap());
    result.unservedTime = std::chrono::duration_cast<milliseconds>(model.unservedTime());
    result.slotsInterrupted = model.slotsInterrupted();
    result.servedAtEnd = model.runUntilServed(std::chrono::milliseconds(1));
    // Instances can replay the whole log only if they reach it.
    model.restoreLinks();
    for (int round = 0; round < 50 && !model.statesAgree(); ++round)
        model.run(milliseconds(20));
    result.statesAgree = model.statesAgree();
    result.breaches = model.breaches();
    return result;
}

FaultCase randomCase(std::uint64_t seed)
{
    constexpr FaultKind kinds[] = {
            FaultKind::Freeze,         FaultKind::Restart,       FaultKind::Isolate,
            FaultKind::CutToLog,       FaultKind::CutToServer,   FaultKind::CutToSuccessor,
            FaultKind::LogOutage,      FaultKind::LostResponses, FaultKind::DelayedAppends,
            FaultKind::PartitionOfLog, FaultKind::DrainServer};
    constexpr Target targets[] = {Target::Controller, Target::FirstSuccessor,
                                  Target::SecondSuccessor, Target::OtherInstance, Target::Server};
    std::mt19937_64 random(seed);
    FaultCase result;
    result.name = "random schedule " + std::to_string(seed);
    result.checksFence = random() % 3 != 0;
    const std::uint64_t count = 2 + random() % 4;
    for (std::uint64_t index = 0; index < count; ++index) {
        Fault fault{kinds[random() % std::size(kinds)]};
        const bool mayBeServer = fault.kind == FaultKind::Freeze || fault.kind == FaultKind::Restart
                || fault.kind == FaultKind::Isolate;
        fault.target = targets[random() % (mayBeServer ? 5 : 4)];
        fault.at = milliseconds(random() % 1500);
        fault.length = milliseconds(20 + random() % 1480);
        result.faults.push_back(fault);
    }
    result.duration = milliseconds(5000);
    return result;
}

} // namespace amaranthdale::decisions::model
