// Keeps the list of members by exchanging tables with other instances over HTTP.
//
// POST /members, between instances. The body is the sender's own report (see `formatReports`), then
// those of instances whose heartbeats it received though it is no relay.
// `Table-Version` holds the version of the sender's table, or `contacts` if the sender only looks
// for contacts. 200: the receiver's reports, or the contacts; with `Unchanged`, its table has the
// same version, and the body holds the largest age of each data centre (see `formatAges`).
//
// GET /members: the members as this instance knows them, one per line, for operators.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/log/event_log.h"
#include "amaranthdale/membership/member_table.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace amaranthdale::membership {

/// HTTP target of the member exchange.
inline constexpr std::string_view membersTarget = "/members";

/// A place outside the instances where a few of them are listed, so that an instance that knows no
/// other finds one. Thread-safe.
class ContactDirectory
{
public:
    virtual ~ContactDirectory() = default;

    /// Lists this instance, or renews its entry. Entries expire on their own.
    virtual void publish() = 0;

    /// Removes this instance's entry.
    virtual void withdraw() = 0;

    /// Reads the listed instances; nothing if they can't be read.
    virtual void read(std::function<void(std::optional<std::vector<Member>>)> handler) = 0;
};

/// Periods of the exchange.
struct ExchangeOptions
{
    /// A member that nobody has heard for this long is gone. Covers two lost heartbeats and the way
    /// over two relays.
    core::Duration lifetime = std::chrono::seconds(9);
    core::Duration heartbeatInterval = std::chrono::milliseconds(1500);
    /// Interval of the requests to a seed that answers, and to one that doesn't: its machine
    /// refuses connections until its process has started.
    core::Duration seedInterval = std::chrono::milliseconds(150);
    core::Duration seedRetryInterval = std::chrono::milliseconds(50);
    /// The relay is chosen this long after the start, when the seeds have heard most instances that
    /// started at the same time. After a loss of all instances, callers wait for it. 250 ms costs a
    /// tenth more store calls, as more instances take themselves for a relay.
    core::Duration settleTime = std::chrono::milliseconds(300);
    /// Interval once the relay is chosen, and until when after the start: all instances may start
    /// at once.
    core::Duration startupInterval = std::chrono::milliseconds(400);
    core::Duration startupTime = std::chrono::milliseconds(2500);
    /// An instance that no other has answered for this long looks into the contact directory; once
    /// more after each further period. Shorter while it starts.
    core::Duration isolationTime = std::chrono::milliseconds(1500);
    core::Duration startupIsolationTime = std::chrono::milliseconds(600);
    /// An instance that finds nobody in the directory either acts alone from then on.
    core::Duration lonelyStartTime = std::chrono::milliseconds(1500);
    core::Duration publishInterval = std::chrono::milliseconds(2500);
    /// How often a relay reads the directory, to find groups of instances that don't know each
    /// other.
    core::Duration directoryReadInterval = std::chrono::seconds(6);
    core::Duration timeout = std::chrono::milliseconds(500);
};

/// Sends a heartbeat to the relay of the own data centre and takes over its table; a relay
/// exchanges tables with those of the other data centres. Only relays are in the contact directory.
/// Thread-safe.
class MemberExchange : public core::RequestHandler,
                       public std::enable_shared_from_this<MemberExchange>
{
public:
    /// `seeds` are peer addresses of instances that may have stopped. `onUpdate` is called after
    /// each update of `members`.
    MemberExchange(core::HttpSender &peerSender, ContactDirectory &contactDirectory,
                   Members &knownMembers, clock::Clock &exchangeClock, log::EventLog &eventLog,
                   std::vector<core::Endpoint> seeds, std::function<void()> onUpdate,
                   ExchangeOptions exchangeOptions = {});

    void start();

    /// Tells the relays that this instance stops, so that it gets no more tasks.
    void leave();

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override;

private:
    void onTimer();
    void heartbeat(core::TimePoint now);
    void contactSeeds(core::TimePoint now);
    void exchangeTables();
    void readDirectory();
    void onContacts(std::optional<std::vector<Member>> contacts);
    void settle(core::TimePoint now);
    void send(const core::Endpoint &peer, std::function<void(bool)> done);
    void sendToMember(const Member &member, unsigned attempt);
    void onReply(core::Outcome<core::HttpResponse> outcome, core::TimePoint sentAt,
                 const std::function<void(bool)> &done);
    bool knowsSeedAsRelay(core::TimePoint now) const;
    bool confirm(const std::string &body, core::TimePoint sentAt);
    void mergeReports(const std::string &body, core::TimePoint sentAt);
    void publishMembers();
    void updatePublication(core::TimePoint now);
    std::vector<MemberReport> heartbeatReports(core::TimePoint now) const;
    MemberReport ownReport() const { return {this->members.self(), {}, this->leaving}; }
    Member ownCollector() const;
    bool isCollector() const;

    core::HttpSender &sender;
    ContactDirectory &directory;
    Members &members;
    clock::Clock &clock;
    log::EventLog &events;
    const std::vector<core::Endpoint> seedEndpoints;
    const std::function<void()> onMembersUpdated;
    const ExchangeOptions options;

    std::atomic<bool> leaving{false};

    mutable std::mutex mutex; // Leaf lock; guards the members below.
    MemberTable table;
    core::TimePoint startedAt{};
    core::TimePoint answeredAt{};      ///< When another instance last answered.
    core::TimePoint directoryReadAt{}; ///< Start of the last read.
    core::TimePoint publishedAt{};
    std::vector<core::TimePoint> seedDueAt; ///< When each seed is to be asked again.
    bool settled = false;                   ///< The relay is chosen; the list is in use.
    bool published = false;                 ///< This instance is in the directory.
    std::map<core::InstanceName, core::TimePoint> heardDirectly; ///< Senders of recent heartbeats.
    std::set<core::InstanceName> listed; ///< As last published to `members`, for the log.
};

} // namespace amaranthdale::membership
