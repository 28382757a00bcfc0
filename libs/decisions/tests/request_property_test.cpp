// Properties of at most once over random sequences of events, with takeovers and moves.
#include "request_fixtures.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>

using namespace amaranthdale;
using namespace amaranthdale::decisions;
using namespace amaranthdale::decisions::test;
using core::LogOffset;

namespace {

// Set the variable to try another seed. RapidCheck reads it at the first property.
const int seedSet = ::setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);

using Events = std::vector<std::uint32_t>;

Events arbitraryEvents()
{
    return *rc::gen::resize(
            300, rc::gen::container<Events>(rc::gen::inRange<std::uint32_t>(0, 1U << 24)));
}

// A controller with what its wiring knows: tickets and requests that were sent.
struct Controller
{
    std::unique_ptr<ServerDispatcher> dispatcher;
    std::map<Ticket, RequestInfo> requests;
    std::vector<Ticket> inFlight;
    bool authority = true;
};

// One slot whose controller changes, and callers that send their ids again and again.
class World
{
public:
    World() { this->addController(true); }

    void step(std::uint32_t event)
    {
        const std::uint32_t kind = event % 20;
        const std::uint32_t pick = event / 20;
        Controller &controller = this->controllers[pick % this->controllers.size()];
        const std::uint32_t choice = pick / 4;
        if (kind < 5)
            this->sendNew(controller, choice);
        else if (kind < 10)
            this->resend(controller, choice);
        else if (kind < 14)
            this->complete(controller, choice);
        else
            this->control(controller, kind, choice);
    }

private:
    void addController(bool initial)
    {
        Controller added;
        DispatcherOptions options;
        options.maxQueued = 3;
        options.ledger.maxEntries = 12;
        options.ledger.issuedRetention = seconds(1);
        added.dispatcher = std::make_unique<ServerDispatcher>(
                options, std::make_unique<AdaptiveLimit>(LimitBounds{1, 4}, this->now),
                this->crashFilter);
        added.dispatcher->replayed(LogOffset(this->logEnd), this->now);
        added.dispatcher->startSlot(0, LogOffset(this->logEnd), initial, this->now);
        added.dispatcher->authorityHeld(this->now);
        this->controllers.push_back(std::move(added));
    }

    void sendNew(Controller &controller, std::uint32_t choice)
    {
        const unsigned number = static_cast<unsigned>(this->sent.size());
        const auto origin = static_cast<IdOrigin>(choice % 3);
        const std::uint64_t offset =
                this->logEnd - (choice / 3) % std::min<std::uint64_t>(3, logEnd);
        const std::string id = origin == IdOrigin::Caller ? "caller-" + std::to_string(number)
                                                          : issuedId(offset, number);
        RequestInfo request = payment(id, origin);
        request.fingerprint = number;
        request.idempotent = choice / 9 % 4 == 0;
        this->sent.push_back(request);
        this->arrive(controller, request);
    }

    void resend(Controller &controller, std::uint32_t choice)
    {
        if (this->sent.empty())
            return;
        RequestInfo request = this->sent[choice % this->sent.size()];
        // A caller that learned an instance's id from its response sends it as an issued one.
        if (request.origin == IdOrigin::Instance)
            request.origin = IdOrigin::Issued;
        this->arrive(controller, request);
    }

    void arrive(Controller &controller, RequestInfo request)
    {
        request.deadline = this->now + milliseconds(500);
        const Arrival arrival = controller.dispatcher->arrive(request, this->now);
        controller.requests[arrival.ticket] = request;
        this->carryOut(controller, arrival.actions);
    }

    void complete(Controller &controller, std::uint32_t choice)
    {
        if (controller.inFlight.empty())
            return;
        const std::size_t index = choice % controller.inFlight.size();
        const Ticket ticket = controller.inFlight[index];
        controller.inFlight.erase(controller.inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        Completion completion = answeredWith("done");
        const std::uint32_t way = choice / 8 % 6;
        if (way == 0)
            completion = failedWith(RunOutcome::NotRun, core::ErrorKind::Overloaded);
        if (way == 1)
            completion = failedWith(RunOutcome::Unknown, core::ErrorKind::ConnectionLost);
        if (completion.outcome == RunOutcome::NotRun)
            this->mayHaveRun.erase(controller.requests.at(ticket).id);
        this->carryOut(controller, controller.dispatcher->completed(ticket, completion, this->now));
    }

    void control(Controller &controller, std::uint32_t kind, std::uint32_t choice)
    {
        ServerDispatcher &dispatcher = *controller.dispatcher;
        Controller &newest = this->controllers.back();
        switch (kind) {
        case 14:
            this->now += milliseconds(choice % 700);
            this->carryOut(controller, dispatcher.tick(this->now));
            break;
        case 15:
            ++this->logEnd;
            newest.dispatcher->replayed(LogOffset(this->logEnd), this->now);
            break;
        case 16:
            this->changeAuthority(controller, choice);
            break;
        case 17:
            this->changeAdmission(controller, choice);
            break;
        case 18:
            if (choice % 4 == 0)
                this->changeController(choice / 4 % 2 == 0);
            break;
        default:
            if (!controller.requests.empty())
                this->carryOut(
                        controller,
                        dispatcher.callerGone(1 + choice % controller.requests.size(), this->now));
        }
    }

    void changeAuthority(Controller &controller, std::uint32_t choice)
    {
        ServerDispatcher &dispatcher = *controller.dispatcher;
        const bool newest = &controller == &this->controllers.back();
        if (choice % 2 == 0) {
            controller.authority = false;
            this->carryOut(controller, dispatcher.authorityLost(this->now));
        } else if (newest) {
            controller.authority = true;
            this->carryOut(controller, dispatcher.authorityHeld(this->now));
        }
    }

    void changeAdmission(Controller &controller, std::uint32_t choice)
    {
        ServerDispatcher &dispatcher = *controller.dispatcher;
        if (choice % 4 == 0)
            this->carryOut(controller, dispatcher.drain(this->now));
        if (choice % 4 == 1)
            dispatcher.undrain();
        if (choice % 4 == 2)
            this->carryOut(controller, dispatcher.pauseSlot(0, this->now));
        if (choice % 4 == 3)
            dispatcher.resumeSlot(0);
    }

    // With transfer: the source has stopped for good. Without: it hasn't noticed its successor and
    // goes on for a while, up to the offset that it has replayed.
    void changeController(bool transfer)
    {
        Controller &source = this->controllers.back();
        ++this->logEnd;
        std::optional<SlotMemory> memory;
        if (transfer) {
            source.authority = false;
            this->carryOut(source, source.dispatcher->authorityLost(this->now));
            memory = source.dispatcher->exportSlot(0, this->now);
            this->carryOut(source, source.dispatcher->dropSlot(0, this->now));
        }
        // Only the last two act; of an older one, everything in flight stays unknown.
        if (this->controllers.size() > 1)
            this->controllers.erase(this->controllers.begin());
        this->addController(false);
        if (memory)
            this->controllers.back().dispatcher->importSlot(*memory, this->now);
    }

    void carryOut(Controller &controller, const Actions &actions)
    {
        bool sentAny = false;
        for (const Action &action : actions) {
            if (const auto *send = std::get_if<SendRequest>(&action)) {
                const RequestInfo &request = controller.requests.at(send->ticket);
                if (!request.idempotent)
                    RC_ASSERT(this->mayHaveRun.insert(request.id).second);
                controller.inFlight.push_back(send->ticket);
                RC_ASSERT(controller.authority);
                sentAny = true;
            }
            if (const auto *refuse = std::get_if<RefuseRequest>(&action)) {
                const RequestInfo &request = controller.requests.at(refuse->ticket);
                if (outcomeForCaller(request, refuse->refusal) == RunOutcome::NotRun)
                    RC_ASSERT(!this->mayHaveRun.contains(request.id));
            }
        }
        const DispatcherLoad load = controller.dispatcher->load(this->now);
        RC_ASSERT(load.inFlight == controller.inFlight.size());
        if (sentAny)
            RC_ASSERT(load.inFlight <= load.limit);
    }

    core::TimePoint now = start;
    std::uint64_t logEnd = 5;
    std::shared_ptr<tables::Guarded<CrashFilter>> crashFilter = makeCrashFilter();
    std::vector<Controller> controllers;  // The newest last; at most two.
    std::vector<RequestInfo> sent;        // As their callers sent them first.
    std::set<core::RequestId> mayHaveRun; // Sent, and not certainly refused by the server.
};

} // namespace

TEST_CASE(
        "dispatchers: no payment is sent twice, no false not run, nothing sent above the limit or "
        "without authority")
{
    CHECK(rc::check([] {
        World world;
        for (std::uint32_t event : arbitraryEvents())
            world.step(event);
    }));
}

TEST_CASE("ledger: an id that may have run is never new, whatever is forgotten meanwhile")
{
    CHECK(rc::check([] {
        LedgerOptions options;
        options.maxEntries = 8;
        options.issuedRetention = seconds(2);
        RequestLedger ledger(options);
        core::TimePoint now = start;
        std::uint64_t offset = 1;
        ledger.replayed(LogOffset(offset), now);
        ledger.startSlot(0, LogOffset(offset), true, now);
        std::vector<RequestInfo> requests;
        std::set<core::RequestId> mayHaveRun;
        for (std::uint32_t event : arbitraryEvents()) {
            const std::uint32_t choice = event / 8;
            const bool fresh = event % 8 < 2 || requests.empty();
            if (fresh) {
                const std::string id = issuedId(offset, static_cast<unsigned>(requests.size()));
                requests.push_back(payment(id, IdOrigin::Issued));
            }
            const RequestInfo &request =
                    fresh ? requests.back() : requests[choice % requests.size()];
            if (event % 8 < 4) {
                const LedgerVerdict verdict = ledger.begin(request, 1, now).verdict;
                if (verdict == LedgerVerdict::New)
                    RC_ASSERT(mayHaveRun.insert(request.id).second);
                if (verdict == LedgerVerdict::Full)
                    RC_ASSERT(!mayHaveRun.contains(request.id));
            } else if (event % 8 < 6) {
                const bool open = ledger.find(request, now).verdict == LedgerVerdict::InFlight;
                const auto outcome = static_cast<RunOutcome>(choice / 64 % 3);
                ledger.complete(request, outcome, responseOf("done"), now);
                if (open && outcome == RunOutcome::NotRun)
                    mayHaveRun.erase(request.id);
            } else {
                now += milliseconds(choice % 1500);
                ledger.replayed(LogOffset(offset += choice / 2048 % 2), now);
                ledger.expire(now);
            }
            RC_ASSERT(ledger.size() <= options.maxEntries);
        }
    }));
}
