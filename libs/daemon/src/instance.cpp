// Construction, start and planned stop of an instance.
#include "amaranthdale/daemon/instance.h"

#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/http/server.h"
#include "amaranthdale/peer/transport.h"
#include "control_loop.h"
#include "entry_service.h"
#include "forwarders.h"
#include "log_follower.h"
#include "operator_service.h"
#include "peer_directory.h"
#include "peer_service.h"

#include <atomic>
#include <random>

namespace amaranthdale::daemon {

namespace {

constexpr core::Duration stopPollInterval = std::chrono::milliseconds(20);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

decisions::OwnershipTimings ownershipTimings(const Settings &settings)
{
    decisions::OwnershipTimings timings;
    timings.heartbeat = settings.timings.heartbeat;
    timings.promise = settings.timings.promise;
    timings.logAuthority = settings.timings.authority;
    timings.lease = settings.timings.lease;
    timings.renewal = settings.timings.renewal;
    timings.drift = settings.timings.drift;
    return timings;
}

decisions::OwnershipSettings ownershipSettings(const Settings &settings, core::InstanceId self)
{
    decisions::OwnershipSettings ownership;
    ownership.self = {std::move(self), settings.dataCentre, false};
    ownership.seed = randomNumber();
    ownership.timings = ownershipTimings(settings);
    return ownership;
}

class RunningInstance : public Instance
{
public:
    RunningInstance(boost::asio::io_context &ioContext, Settings instanceSettings,
                    log::EventLog &eventLog);
    ~RunningInstance() override;

    core::Result<void> listen(boost::asio::io_context &ioContext);
    void start();

    InstanceEndpoints endpoints() const override;
    void stop(std::function<void()> stopped) override;

private:
    void awaitHandover(core::TimePoint limit, std::function<void()> stopped);
    void finishStop(std::function<void()> stopped);

    const Settings settings;
    log::EventLog &log;
    const core::InstanceId self;
    std::unique_ptr<clock::Clock> clock;
    report::Recorder recorder;
    Tables tables;
    tables::Guarded<EntryTable> entryTable;

    std::unique_ptr<core::HttpSender> backends;
    std::unique_ptr<core::HttpSender> platformSender;
    std::unique_ptr<core::HttpSender> peers;
    std::unique_ptr<logclient::LogService> logService;
    std::unique_ptr<logclient::InstanceList> instanceList;

    ControlLoop control;
    LocalForwarder local;
    ControllerForwarder forwarder;
    EntryService entry;
    OperatorService operators;
    PeerService peerService;
    std::unique_ptr<PeerDirectory> directory;
    std::unique_ptr<LogFollower> follower;

    // Declared last, so that the listeners are destroyed before the services that they call.
    std::unique_ptr<core::HttpListener> peerListener;
    std::unique_ptr<core::HttpListener> operatorListener;
    std::unique_ptr<core::HttpListener> callerListener;
    std::atomic<bool> stopping = false;
};

RunningInstance::RunningInstance(boost::asio::io_context &ioContext, Settings instanceSettings,
                                 log::EventLog &eventLog)
    : settings(std::move(instanceSettings)),
      log(eventLog), self{settings.instance, core::Incarnation(randomNumber())},
      clock(clock::makeAsioClock(ioContext)),
      recorder(report::ReportSource{settings.instance, settings.dataCentre}),
      tables(ownershipSettings(settings, self),
             std::make_unique<decisions::NamedSuccessorAuthority>(ownershipTimings(settings)),
             std::make_unique<decisions::RendezvousPlacement>(), clock->now()),
      entryTable(tables::LockRank::Requests, randomNumber()),
      backends(http::makeBackendClient(ioContext)),
      platformSender(http::makeBackendClient(ioContext)), peers(peer::makePeerClient(ioContext)),
      logService(
              logclient::makeLogService(*platformSender, settings.logService, settings.logStream)),
      instanceList(logclient::makeInstanceList(*platformSender, settings.instanceList)),
      control(ControlContext{tables, *clock, *backends, *peers, *logService, log, recorder, self,
                             settings.timings.promise}),
      local(tables), forwarder(tables, *clock, settings.instance, *peers, local),
      entry(EntryContext{tables, entryTable, *clock, forwarder, recorder}),
      operators(OperatorContext{tables, *clock, recorder, *peers, settings.instance,
                                settings.dataCentre,
                                [this] { return this->follower->ready() && !this->stopping; }}),
      peerService(tables, *clock, control, local, operators)
{ }

RunningInstance::~RunningInstance()
{
    this->follower->stop();
    this->directory->stop();
    this->control.stop();
}

core::Result<void> RunningInstance::listen(boost::asio::io_context &ioContext)
{
    BOOST_LEAF_ASSIGN(
            this->peerListener,
            peer::makePeerServer(ioContext, this->settings.peerListen, this->peerService));
    logclient::ListedInstance ownEntry;
    ownEntry.id = this->self;
    ownEntry.dataCentre = this->settings.dataCentre;
    ownEntry.peerEndpoint = this->peerListener->localEndpoint();
    this->directory = std::make_unique<PeerDirectory>(
            *this->instanceList, *this->clock, this->tables, this->log, *this->peers,
            std::move(ownEntry), [this](const std::vector<logclient::ListedInstance> &listed) {
                this->control.instancesListed(listed);
            });
    this->follower = std::make_unique<LogFollower>(*this->logService, *this->clock, this->tables,
                                                   this->log, this->control, *this->directory);
    this->control.setLogAge([this] { return this->follower->readAge(); });
    BOOST_LEAF_ASSIGN(
            this->operatorListener,
            http::makeHttpServer(ioContext, this->settings.operatorListen, this->operators));
    BOOST_LEAF_ASSIGN(this->callerListener,
                      http::makeHttpServer(ioContext, this->settings.callerListen, this->entry));
    return {};
}

void RunningInstance::start()
{
    this->directory->start();
    this->follower->start();
    this->control.start();
    this->log.write(log::Severity::Info, "instance-started",
                    {{"instance", this->self.name.value},
                     {"dataCentre", this->settings.dataCentre.value},
                     {"callers", core::formatEndpoint(this->endpoints().callers)},
                     {"peers", core::formatEndpoint(this->endpoints().peers)},
                     {"operators", core::formatEndpoint(this->endpoints().operators)}});
}

InstanceEndpoints RunningInstance::endpoints() const
{
    return {this->callerListener->localEndpoint(), this->peerListener->localEndpoint(),
            this->operatorListener->localEndpoint()};
}

void RunningInstance::stop(std::function<void()> stopped)
{
    if (this->stopping.exchange(true))
        return;
    this->log.write(log::Severity::Info, "stop-begun", {{"instance", this->self.name.value}});
    const core::TimePoint limit = this->clock->now() + this->settings.timings.drainLimit;
    this->directory->announceLeaving();
    this->control.leave();
    this->awaitHandover(limit, std::move(stopped));
}

void RunningInstance::awaitHandover(core::TimePoint limit, std::function<void()> stopped)
{
    const core::TimePoint now = this->clock->now();
    if (!this->control.hasLeft() && now < limit) {
        this->clock->schedule(now + stopPollInterval,
                              [this, limit, stopped = std::move(stopped)]() mutable {
                                  this->awaitHandover(limit, std::move(stopped));
                              });
        return;
    }
    // Requests in progress on the caller port still need the peer port and the log.
    auto finished = std::make_shared<std::atomic<bool>>(false);
    auto finish = [this, finished, stopped = std::move(stopped)] {
        if (!finished->exchange(true))
            this->finishStop(stopped);
    };
    this->clock->schedule(limit, finish);
    this->callerListener->drain([this, finish] { this->peerListener->drain(finish); });
}

void RunningInstance::finishStop(std::function<void()> stopped)
{
    this->follower->stop();
    this->directory->stop();
    this->control.stop();
    this->directory->withdraw([this, stopped = std::move(stopped)] {
        this->log.write(log::Severity::Info, "stopped", {{"instance", this->self.name.value}});
        stopped();
    });
}

} // namespace

core::Result<std::unique_ptr<Instance>> startInstance(boost::asio::io_context &context,
                                                      const Settings &settings, log::EventLog &log)
{
    auto instance = std::make_unique<RunningInstance>(context, settings, log);
    BOOST_LEAF_CHECK(instance->listen(context));
    instance->start();
    return std::unique_ptr<Instance>(std::move(instance));
}

} // namespace amaranthdale::daemon
