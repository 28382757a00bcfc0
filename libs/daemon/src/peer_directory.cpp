// Registration, polling of the instance list, and the initial state from two peers when an instance
// starts without the log.
#include "peer_directory.h"

#include "amaranthdale/records/state_codec.h"

namespace amaranthdale::daemon {

namespace {

constexpr core::Duration listInterval = std::chrono::seconds(1);
constexpr core::Duration listTimeout = std::chrono::seconds(1);
constexpr core::Duration stateTimeout = std::chrono::seconds(2);
constexpr std::size_t maxStateBytes = 128 * 1024 * 1024;
constexpr std::size_t maxStateSources = 2;

// Collects the states of several peers and keeps the newest.
class StateCollector : public std::enable_shared_from_this<StateCollector>
{
public:
    using Handler = std::function<void(core::Outcome<decisions::ClusterState>)>;

    StateCollector(std::size_t peerCount, Handler whenDone)
        : outstanding(peerCount), handler(std::move(whenDone))
    { }

    void add(const core::Outcome<std::string> &text)
    {
        std::unique_lock lock(this->mutex);
        if (text) {
            auto decoded = records::decodeState(*text);
            if (decoded)
                this->keepNewer(std::move(decoded.value()));
        }
        if (--this->outstanding > 0)
            return;
        lock.unlock();
        if (this->newest)
            this->handler(std::move(*this->newest));
        else
            this->handler(core::Error{core::ErrorKind::Unavailable,
                                      "no peer returned its state; waiting for the log or a peer"});
    }

private:
    void keepNewer(decisions::ClusterState state)
    {
        if (!this->newest || this->newest->offset() < state.offset())
            this->newest = std::move(state);
    }

    std::mutex mutex; // Leaf lock: no other lock is taken while it is held.
    std::size_t outstanding;
    std::optional<decisions::ClusterState> newest;
    Handler handler;
};

} // namespace

PeerDirectory::PeerDirectory(logclient::InstanceList &instanceList, clock::Clock &processClock,
                             Tables &sharedTables, log::EventLog &eventLog,
                             core::HttpSender &peerSender, logclient::ListedInstance ownEntry,
                             ListHandler onList)
    : list(instanceList), clock(processClock), tables(sharedTables), log(eventLog),
      peers(peerSender), self(std::move(ownEntry)), listHandler(std::move(onList))
{ }

void PeerDirectory::start()
{
    this->announce();
    this->fetch();
}

void PeerDirectory::announce()
{
    logclient::ListedInstance entry = this->self;
    entry.leaving = this->leaving;
    this->list.announce(entry, listTimeout, [this](const core::Outcome<core::Success> &result) {
        if (result || this->stopped)
            return;
        this->log.write(log::Severity::Warning, "announce-failed",
                        {{"message", result.error().message}});
        this->clock.schedule(this->clock.now() + listInterval, [this] {
            if (!this->stopped)
                this->announce();
        });
    });
}

void PeerDirectory::fetch()
{
    using Listed = std::vector<logclient::ListedInstance>;
    this->list.fetch(listTimeout, [this](const core::Outcome<Listed> &listed) {
        if (this->stopped)
            return;
        if (listed) {
            this->tables.membership.with([&](MembershipTable &table) {
                table.listed.clear();
                for (const logclient::ListedInstance &instance : *listed)
                    table.listed[instance.id.name] = instance;
            });
            this->listHandler(*listed);
        }
        this->clock.schedule(this->clock.now() + listInterval, [this] {
            if (!this->stopped)
                this->fetch();
        });
    });
}

void PeerDirectory::announceLeaving()
{
    this->leaving = true;
    this->announce();
}

void PeerDirectory::withdraw(std::function<void()> done)
{
    this->list.withdraw(this->self.id.name, listTimeout,
                        [done = std::move(done)](const core::Outcome<core::Success> &) { done(); });
}

void PeerDirectory::fetchState(std::function<void(core::Outcome<decisions::ClusterState>)> handler)
{
    const auto endpoints = this->tables.membership.with([&](const MembershipTable &table) {
        std::vector<core::Endpoint> found;
        for (const auto &[name, instance] : table.listed) {
            if (name != this->self.id.name && found.size() < maxStateSources)
                found.push_back(instance.peerEndpoint);
        }
        return found;
    });
    if (endpoints.empty())
        return handler(core::Error{core::ErrorKind::Unavailable,
                                   "no peer is listed; waiting for the log or a peer"});
    auto collector = std::make_shared<StateCollector>(endpoints.size(), std::move(handler));
    for (const core::Endpoint &endpoint : endpoints) {
        core::HttpRequest request;
        request.method = "GET";
        request.target = "/state";
        this->peers.send(endpoint, std::move(request), stateTimeout,
                         [collector](core::Outcome<core::HttpResponse> response) {
                             if (!response)
                                 return collector->add(response.error());
                             core::readWholeBody(response->body, maxStateBytes,
                                                 [collector](core::Outcome<std::string> text) {
                                                     collector->add(text);
                                                 });
                         });
    }
}

} // namespace amaranthdale::daemon
