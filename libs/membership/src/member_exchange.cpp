// Heartbeats, table exchange, start and the contact directory.
#include "amaranthdale/membership/member_exchange.h"

#include "amaranthdale/core/numbers.h"
#include "amaranthdale/membership/member_text.h"

#include <algorithm>

namespace amaranthdale::membership {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view versionField = "Table-Version";
constexpr std::string_view contactsVersion = "contacts";
constexpr std::string_view unchangedField = "Unchanged";
constexpr std::string_view settledField = "Settled";

constexpr std::size_t maxTableBytes = 1024 * 1024;
constexpr auto completionTimeout = std::chrono::seconds(5); // For a table that arrives slowly.
constexpr std::size_t contactsPerDataCentre = 3;
constexpr std::size_t maxDirectoryContacts = 3; // Contacted after one read of the directory.

// Reports in one heartbeat; the rest follows with the next ones.
constexpr std::size_t maxHeartbeatReports = 64;

// Messages may be lost; a member is suspected after this many that it left unanswered in a row.
constexpr unsigned maxUnanswered = 3;

constexpr unsigned statusOk = 200;
constexpr unsigned statusBadRequest = 400;

} // namespace

MemberExchange::MemberExchange(core::HttpSender &peerSender, ContactDirectory &contactDirectory,
                               Members &knownMembers, clock::Clock &exchangeClock,
                               log::EventLog &eventLog, std::vector<core::Endpoint> seeds,
                               std::function<void()> onUpdate, ExchangeOptions exchangeOptions)
    : sender(peerSender), directory(contactDirectory), members(knownMembers), clock(exchangeClock),
      events(eventLog), seedEndpoints(std::move(seeds)), onMembersUpdated(std::move(onUpdate)),
      options(exchangeOptions), table(exchangeOptions.lifetime),
      seedDueAt(this->seedEndpoints.size())
{ }

void MemberExchange::start()
{
    const core::TimePoint now = this->clock.uptime();
    {
        std::lock_guard lock(this->mutex);
        this->startedAt = now;
        this->answeredAt = now;
        this->directoryReadAt = now;
        this->table.merge({this->ownReport()}, now);
    }
    this->onTimer();
}

void MemberExchange::onTimer()
{
    if (this->leaving)
        return;
    const core::TimePoint now = this->clock.uptime();
    this->heartbeat(now);
    core::Duration interval = this->options.heartbeatInterval;
    {
        std::lock_guard lock(this->mutex);
        if (!this->settled)
            interval = this->options.seedRetryInterval;
        else if (now - this->startedAt < this->options.startupTime)
            interval = this->options.startupInterval;
    }
    this->clock.schedule(this->clock.now() + interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimer();
    });
}

void MemberExchange::heartbeat(core::TimePoint now)
{
    bool isSettled = false;
    bool readDue = false;
    bool lonely = false;
    bool afterSettleTime = false;
    const bool relay = this->isCollector();
    {
        std::lock_guard lock(this->mutex);
        this->table.merge({this->ownReport()}, now);
        std::erase_if(this->heardDirectly, [&](const auto &entry) {
            return now - entry.second >= this->options.lifetime;
        });
        isSettled = this->settled;
        const bool heardOthers = this->table.alive(now).size() > 1;
        const core::TimePoint since = std::max(this->answeredAt, this->directoryReadAt);
        lonely = !heardOthers && now - this->startedAt >= this->options.lonelyStartTime;
        afterSettleTime = heardOthers && now - this->startedAt >= this->options.settleTime;
        readDue = relay && now - this->directoryReadAt >= this->options.directoryReadInterval;
        readDue = readDue
                || now - since >= (this->settled ? this->options.isolationTime
                                                 : this->options.startupIsolationTime);
        if (readDue)
            this->directoryReadAt = now;
    }
    if (readDue)
        this->readDirectory();
    if (!isSettled && (lonely || afterSettleTime)) {
        this->settle(now);
        isSettled = true;
    }
    if (!isSettled)
        return this->contactSeeds(now);
    this->publishMembers();
    this->updatePublication(now);
    this->exchangeTables();
}

// Asks the seeds that are due: one that doesn't answer, as it may be starting too, sooner again.
void MemberExchange::contactSeeds(core::TimePoint now)
{
    for (std::size_t index = 0; index < this->seedEndpoints.size(); ++index) {
        if (this->seedEndpoints[index] == this->members.self().peer)
            continue;
        {
            std::lock_guard lock(this->mutex);
            if (now < this->seedDueAt[index])
                continue;
            this->seedDueAt[index] = now + this->options.seedInterval;
        }
        this->send(this->seedEndpoints[index],
                   [weak = this->weak_from_this(), index](bool answered) {
                       const auto self = weak.lock();
                       if (!self || answered)
                           return;
                       std::lock_guard lock(self->mutex);
                       self->seedDueAt[index] = self->clock.uptime();
                   });
    }
}

// Takes the list into use.
void MemberExchange::settle(core::TimePoint now)
{
    std::size_t known = 0;
    {
        std::lock_guard lock(this->mutex);
        if (std::exchange(this->settled, true))
            return;
        known = this->table.alive(now).size();
    }
    this->events.write(log::Severity::Info, "members-settled", {{"known", std::to_string(known)}});
    this->publishMembers();
}

// A relay that is suspected because it lost the store still collects heartbeats: if its data centre
// went to another member for both, the tables of the relays would lack that data centre.
bool MemberExchange::isCollector() const
{
    return this->members.hasList() && this->ownCollector().name == this->members.self().name;
}

Member MemberExchange::ownCollector() const
{
    const Member &self = this->members.self();
    return this->members.selectFor(InstanceRole::Collector, self.dataCentre, this->clock.now())
            .value_or(self);
}

void MemberExchange::exchangeTables()
{
    if (!this->isCollector())
        return this->sendToMember(this->ownCollector(), 1);
    for (const core::DataCentreName &dataCentre : this->members.dataCentres()) {
        if (dataCentre == this->members.self().dataCentre)
            continue;
        if (const auto collector =
                    this->members.selectFor(InstanceRole::Collector, dataCentre, this->clock.now()))
            this->sendToMember(*collector, 1);
    }
}

// Instances that wrongly suspect their relay send their heartbeats to another instance. It passes
// them on, or the relay would take them for gone.
std::vector<MemberReport> MemberExchange::heartbeatReports(core::TimePoint now) const
{
    std::vector<MemberReport> reports{this->ownReport()};
    for (const MemberReport &report : this->table.reports(now)) {
        const auto heard = this->heardDirectly.find(report.member.name);
        const bool recent = heard != this->heardDirectly.end()
                && now - heard->second < 2 * this->options.heartbeatInterval;
        if (recent && reports.size() < maxHeartbeatReports)
            reports.push_back(report);
    }
    return reports;
}

void MemberExchange::sendToMember(const Member &member, unsigned attempt)
{
    this->send(member.peer, [weak = this->weak_from_this(), member, attempt](bool answered) {
        const auto self = weak.lock();
        if (!self || answered)
            return;
        if (attempt < maxUnanswered)
            return self->sendToMember(member, attempt + 1);
        // The next heartbeat goes to the member that takes over.
        for (const InstanceRole role : {InstanceRole::Collector, InstanceRole::Relay})
            self->members.suspect(role, member.name, self->clock.now());
        self->events.write(log::Severity::Warning, "heartbeat-unanswered",
                           {{"member", member.name.value}});
    });
}

void MemberExchange::send(const core::Endpoint &peer, std::function<void(bool)> done)
{
    core::HttpRequest request;
    request.method = "POST";
    request.target = std::string(membersTarget);
    request.completionTimeout = completionTimeout;
    const bool relay = this->isCollector();
    {
        const core::TimePoint now = this->clock.uptime();
        std::lock_guard lock(this->mutex);
        request.body =
                formatReports(relay ? std::vector{this->ownReport()} : this->heartbeatReports(now));
        const std::string version = std::to_string(this->table.version(now));
        request.headers = {{std::string(versionField),
                            this->settled ? version : std::string(contactsVersion)}};
    }
    this->sender.send(peer, std::move(request), this->options.timeout,
                      [weak = this->weak_from_this(), done = std::move(done),
                       sentAt = this->clock.uptime()](core::Outcome<core::HttpResponse> outcome) {
                          if (const auto self = weak.lock())
                              self->onReply(std::move(outcome), sentAt, done);
                      });
}

void MemberExchange::onReply(core::Outcome<core::HttpResponse> outcome, core::TimePoint sentAt,
                             const std::function<void(bool)> &done)
{
    if (!outcome || outcome->status != statusOk)
        return done(false);
    const bool unchanged = core::findHeader(outcome->headers, unchangedField).has_value();
    const bool peerSettled = core::findHeader(outcome->headers, settledField).has_value();
    core::readWholeBody(outcome->body, maxTableBytes,
                        [self = this->shared_from_this(), sentAt, unchanged, peerSettled,
                         done](core::Outcome<std::string> body) {
                            if (!body)
                                return done(false);
                            if (unchanged)
                                return done(self->confirm(*body, sentAt));
                            self->mergeReports(*body, sentAt);
                            // A system that is running knows all its members already.
                            if (peerSettled)
                                self->settle(self->clock.uptime());
                            done(true);
                        });
}

// True if a seed is a member of this data centre with as many cores as any known member: it is a
// relay already, or about to be one.
bool MemberExchange::knowsSeedAsRelay(core::TimePoint now) const
{
    const auto known = this->table.alive(now);
    double maxCores = 0;
    for (const Member &member : known)
        maxCores = std::max(maxCores, member.cores);
    return std::any_of(known.begin(), known.end(), [&](const Member &member) {
        const bool isSeed =
                std::find(this->seedEndpoints.begin(), this->seedEndpoints.end(), member.peer)
                != this->seedEndpoints.end();
        return isSeed && member.cores >= maxCores
                && member.dataCentre == this->members.self().dataCentre;
    });
}

bool MemberExchange::confirm(const std::string &body, core::TimePoint sentAt)
{
    auto ages = parseAges(body);
    if (!ages)
        return false;
    const core::TimePoint now = this->clock.uptime();
    // The time since the request was sent keeps ages from shrinking on the way.
    for (auto &[dataCentre, age] : *ages)
        age += now - sentAt;
    std::lock_guard lock(this->mutex);
    this->answeredAt = now;
    this->table.confirm(*ages, now);
    return true;
}

void MemberExchange::mergeReports(const std::string &body, core::TimePoint sentAt)
{
    std::size_t malformed = 0;
    auto reports = parseReports(body, malformed);
    const core::TimePoint now = this->clock.uptime();
    for (MemberReport &report : reports)
        report.age += now - sentAt;
    reports.push_back(this->ownReport());
    bool inUse = false;
    bool relayKnown = false;
    {
        std::lock_guard lock(this->mutex);
        this->answeredAt = now;
        this->table.merge(reports, now);
        inUse = this->settled;
        relayKnown = !inUse && this->knowsSeedAsRelay(now);
    }
    if (relayKnown)
        this->settle(now);
    if (malformed > 0)
        this->events.write(log::Severity::Warning, "member-unreadable",
                           {{"lines", std::to_string(malformed)}});
    if (inUse)
        this->publishMembers();
}

void MemberExchange::publishMembers()
{
    std::vector<Member> alive;
    std::vector<log::Field> changes;
    {
        std::lock_guard lock(this->mutex);
        alive = this->table.alive(this->clock.uptime());
        std::set<core::InstanceName> names;
        for (const Member &member : alive)
            names.insert(member.name);
        const auto missingIn = [](const auto &from, const auto &in) {
            return std::count_if(from.begin(), from.end(),
                                 [&in](const auto &name) { return !in.contains(name); });
        };
        const auto added = missingIn(names, this->listed);
        const auto removed = missingIn(this->listed, names);
        if (added > 0 || removed > 0)
            changes = {{"members", std::to_string(names.size())},
                       {"added", std::to_string(added)},
                       {"removed", std::to_string(removed)}};
        this->listed = std::move(names);
    }
    if (!changes.empty())
        this->events.write(log::Severity::Info, "members-changed", std::move(changes));
    this->members.update(std::move(alive), this->clock.now());
    this->onMembersUpdated();
}

// Keeps this instance in the directory while it is a relay.
void MemberExchange::updatePublication(core::TimePoint now)
{
    const bool relay = this->isCollector();
    bool publish = false;
    bool withdraw = false;
    {
        std::lock_guard lock(this->mutex);
        publish = relay
                && (!this->published || now - this->publishedAt >= this->options.publishInterval);
        withdraw = !relay && this->published;
        if (publish)
            this->publishedAt = now;
        this->published = relay;
    }
    if (publish)
        this->directory.publish();
    if (withdraw)
        this->directory.withdraw();
}

void MemberExchange::readDirectory()
{
    this->directory.read([weak = this->weak_from_this()](std::optional<std::vector<Member>> found) {
        if (const auto self = weak.lock())
            self->onContacts(std::move(found));
    });
}

// Exchanges tables with listed instances that this one has not heard of, so that groups that were
// separated join again. The directory logs an unsuccessful read.
void MemberExchange::onContacts(std::optional<std::vector<Member>> contacts)
{
    if (!contacts)
        return;
    const auto known = this->members.list();
    const bool alone = known.size() <= 1;
    std::size_t contacted = 0;
    for (const Member &contact : *contacts) {
        const bool isSelf = contact.name == this->members.self().name;
        const bool isKnown = std::any_of(known.begin(), known.end(), [&](const Member &member) {
            return member.name == contact.name;
        });
        if (isSelf || (isKnown && !alone) || contacted == maxDirectoryContacts)
            continue;
        ++contacted;
        this->send(contact.peer, [](bool) {});
    }
}

std::shared_ptr<core::Exchange> MemberExchange::handle(core::HttpRequest request,
                                                       core::ResponseHandler respond)
{
    if (request.method == "GET") {
        respond(core::makeResponse(statusOk, formatMembers(this->members.list()), "text/plain"));
        return nullptr;
    }
    std::size_t malformed = 0;
    const auto reports = parseReports(request.body, malformed);
    if (reports.empty() || reports.size() > maxHeartbeatReports || malformed > 0) {
        respond(core::makeResponse(statusBadRequest,
                                   "send the report of the sender and at most 63 others"));
        return nullptr;
    }
    const auto version = core::findHeader(request.headers, versionField);
    const core::TimePoint now = this->clock.uptime();
    core::HttpResponse response;
    {
        std::lock_guard lock(this->mutex);
        this->table.merge(reports, now);
        this->table.merge({this->ownReport()}, now);
        this->heardDirectly[reports.front().member.name] = now;
        if (version == std::to_string(this->table.version(now))) {
            response = core::makeResponse(statusOk, formatAges(this->table.largestAges(now)),
                                          "text/plain");
            core::setHeader(response.headers, unchangedField, "1");
        } else {
            const bool wantsContacts = version == contactsVersion;
            response = core::makeResponse(
                    statusOk,
                    formatReports(wantsContacts ? this->table.contacts(contactsPerDataCentre, now)
                                                : this->table.reports(now)),
                    "text/plain");
            // The list of an instance that has just started may lack the asker's data centre.
            if (this->settled && now - this->startedAt >= this->options.settleTime)
                core::setHeader(response.headers, settledField, "1");
        }
    }
    respond(std::move(response));
    return nullptr;
}

void MemberExchange::leave()
{
    const core::TimePoint now = this->clock.uptime();
    const bool relay = this->isCollector();
    this->leaving = true;
    bool wasPublished = false;
    {
        std::lock_guard lock(this->mutex);
        this->table.merge({this->ownReport()}, now);
        wasPublished = std::exchange(this->published, false);
    }
    if (wasPublished)
        this->directory.withdraw();
    // The relay of this data centre passes it on; a relay that stops tells the next one as well.
    for (const core::DataCentreName &dataCentre : this->members.dataCentres()) {
        const bool own = dataCentre == this->members.self().dataCentre;
        const auto next = this->members.selectFor(InstanceRole::Collector, dataCentre,
                                                  this->clock.now(), this->members.self().name);
        if (next && (own || relay))
            this->send(next->peer, [](bool) {});
    }
}

} // namespace amaranthdale::membership
