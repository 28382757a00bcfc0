// Grants, releases and requests of an upstream that holds keys.
#include "keyed_upstream.h"

#include <boost/json.hpp>

#include <algorithm>

namespace review {

namespace {

constexpr auto lateness = Milliseconds(2200); // Of a grant that is applied late.

} // namespace

KeyedUpstream::KeyedUpstream(UpstreamIdentity identity, const Address &address, Record &runRecord,
                             Store &runStore)
    : Upstream(std::move(identity), address, runRecord, runStore), fences(keyCount),
      holdEnds(keyCount), runningOn(keyCount)
{ }

KeyedUpstream::Grant KeyedUpstream::parse(const std::string &body)
{
    const boost::json::object call = boost::json::parse(body).as_object();
    Grant grant{call.at("from").to_number<Key>(), call.at("to").to_number<Key>(),
                call.at("fence").to_number<std::uint64_t>(), Milliseconds(0)};
    if (const auto *hold = call.if_contains("holdMs"))
        grant.hold = Milliseconds(hold->to_number<std::int64_t>());
    return grant;
}

bool KeyedUpstream::apply(const Grant &grant, Milliseconds arrival)
{
    std::lock_guard lock(this->mutex);
    const auto isHigher = [&grant](std::uint64_t seen) { return seen > grant.fence; };
    if (std::any_of(this->fences.begin() + grant.first, this->fences.begin() + grant.last + 1,
                    isHigher))
        return false;
    const Milliseconds time = now();
    const Milliseconds end = arrival + grant.hold;
    for (Key key = grant.first; key <= grant.last; ++key) {
        const auto position = static_cast<std::size_t>(key);
        this->fences[position] = grant.fence;
        std::vector<Hold> &spans = this->holds[key];
        const bool continues = !spans.empty() && spans.back().fence == grant.fence
                && this->holdEnds[position] > time;
        if (continues) {
            spans.back().end = end;
        } else if (end > time) {
            if (!spans.empty())
                spans.back().end = std::min(spans.back().end, time);
            spans.push_back({grant.fence, time, end});
        }
        this->holdEnds[position] = end;
    }
    return true;
}

std::string KeyedUpstream::serveGrant(const std::string &body, const std::string &previous)
{
    const Milliseconds arrival = now();
    const Grant grant = parse(body);
    const std::string text = std::to_string(grant.first) + " to " + std::to_string(grant.last)
            + ", fence " + std::to_string(grant.fence);
    const Key faulty = this->faultyKey;
    if (faulty >= grant.first && faulty <= grant.last && !previous.empty()) {
        this->faultyKey = -1;
        std::thread([this, grant, arrival, text] {
            sleepUntil(arrival + lateness);
            const bool applied = this->apply(grant, arrival);
            this->record.write(this->self.id + (applied ? " applies late" : " refuses late")
                               + " the grant of " + text);
        }).detach();
        this->record.write(this->self.id + " leaves without an answer the grant of " + text
                           + ", and sends the answer to an earlier one again");
        return previous;
    }
    const bool applied = this->apply(grant, arrival);
    this->record.write(this->self.id + (applied ? " takes " : " refuses ") + text);
    return formatResponse(applied ? 200 : 409, {{"Content-Type", "application/json"}}, "{}");
}

std::string KeyedUpstream::release(const std::string &body)
{
    const Grant call = parse(body);
    {
        std::lock_guard lock(this->mutex);
        const Milliseconds time = now();
        for (Key key = call.first; key <= call.last; ++key) {
            const auto position = static_cast<std::size_t>(key);
            if (this->holdEnds[position] > time && !this->holds[key].empty())
                this->holds[key].back().end = time;
            this->holdEnds[position] = Milliseconds(0);
        }
    }
    for (bool idle = false; !idle;) {
        std::this_thread::sleep_for(Milliseconds(1));
        std::lock_guard lock(this->mutex);
        idle = std::all_of(this->runningOn.begin() + call.first,
                           this->runningOn.begin() + call.last + 1,
                           [](int count) { return count == 0; });
    }
    this->record.write(this->self.id + " releases " + std::to_string(call.first) + " to "
                       + std::to_string(call.last) + ", fence " + std::to_string(call.fence));
    return formatResponse(200, {{"Handover", "5c0e7a21d94b36f8"}}, "");
}

std::string KeyedUpstream::runKeyed(const Message &request)
{
    if (request.header("Target-Instance") != this->self.id)
        return this->refuse(request, 421);
    const Key key = std::stoi(request.header("Shard-Key"));
    const auto position = static_cast<std::size_t>(key);
    {
        std::lock_guard lock(this->mutex);
        const Milliseconds time = now();
        if (this->holdEnds[position] <= time)
            return this->refuse(request, 421);
        ++this->runningOn[position];
        this->begun[key].push_back(time);
    }
    const std::string response = this->run(request);
    std::lock_guard lock(this->mutex);
    --this->runningOn[position];
    return response;
}

void KeyedUpstream::serve(const std::shared_ptr<Connection> &connection)
{
    Message request;
    std::string lastAnswer; // To a grant on this connection.
    while (!this->ended && connection->read(request)) {
        std::string response;
        if (request.target == "/grant" || request.target == "/release") {
            if (request.header("Target-Instance") != this->self.id)
                response = this->refuse(request, 421);
            else if (request.target == "/release")
                response = this->release(request.body);
            else
                response = lastAnswer = this->serveGrant(request.body, lastAnswer);
        } else {
            response = this->runKeyed(request);
        }
        if (!connection->write(response))
            return;
    }
}

std::optional<Key> KeyedUpstream::firstHeldKey()
{
    std::lock_guard lock(this->mutex);
    const Milliseconds time = now();
    for (Key key = 0; key < keyCount; ++key) {
        if (this->holdEnds[static_cast<std::size_t>(key)] > time)
            return key;
    }
    return std::nullopt;
}

std::vector<KeyedUpstream::Hold> KeyedUpstream::holdsOf(Key key)
{
    std::lock_guard lock(this->mutex);
    return this->holds[key];
}

std::vector<Milliseconds> KeyedUpstream::begunOn(Key key)
{
    std::lock_guard lock(this->mutex);
    return this->begun[key];
}

OwnershipFindings compareHolds(Key key, KeyedUpstream &first, KeyedUpstream &second)
{
    OwnershipFindings findings;
    const auto firstBegun = first.begunOn(key);
    const auto secondBegun = second.begunOn(key);
    const auto countIn = [](const std::vector<Milliseconds> &times, Milliseconds begin,
                            Milliseconds end) {
        return static_cast<int>(std::count_if(times.begin(), times.end(), [=](Milliseconds time) {
            return time >= begin && time < end;
        }));
    };
    for (const KeyedUpstream::Hold &a : first.holdsOf(key)) {
        for (const KeyedUpstream::Hold &b : second.holdsOf(key)) {
            const bool aIsLater = a.begin > b.begin;
            findings.lowerTokens += aIsLater ? a.fence <= b.fence : b.fence <= a.fence;
            const Milliseconds begin = std::max(a.begin, b.begin);
            const Milliseconds end = std::min(a.end, b.end);
            if (begin >= end)
                continue;
            const int atFirst = countIn(firstBegun, begin, end);
            const int atSecond = countIn(secondBegun, begin, end);
            findings.sharedTime += end - begin;
            findings.begunAtFirst += atFirst;
            findings.begunAtSecond += atSecond;
            findings.begunByBoth = findings.begunByBoth || (atFirst > 0 && atSecond > 0);
        }
    }
    return findings;
}

std::string keyedConfigurationText(const std::string &service, int timeoutMs)
{
    std::string text = configurationText(service, "idempotent", timeoutMs);
    const std::string field = R"("warmupPerS":14.0)";
    return text.insert(text.find(field) + field.size(),
                       R"(,"sharded":true,"warmS":2.0,"grants":"call")");
}

} // namespace review
