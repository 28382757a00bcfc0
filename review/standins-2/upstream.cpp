// Requests at an upstream.
#include "world.h"

namespace review {

namespace {

constexpr int queueLength = 16;

} // namespace

Upstream::Upstream(UpstreamIdentity identity, const Address &address, Record &runRecord,
                   Store &runStore)
    : self(std::move(identity)), record(runRecord), store(runStore), born(wallMilliseconds()),
      server(address,
             [this](const std::shared_ptr<Connection> &connection) { this->serve(connection); })
{ }

std::string Upstream::entry(const std::string &state)
{
    std::lock_guard lock(this->mutex);
    return R"({"address":")" + this->server.address.text() + R"(","born":)"
            + std::to_string(this->born) + R"(,"info":{"service":")" + this->self.service
            + R"(","version":"v1","zone":")" + this->self.zone + R"(","capacity":)"
            + std::to_string(this->self.slots) + R"(},"status":{"state":")" + state
            + R"(","sequence":)" + std::to_string(++this->sequence) + R"(,"warmupLeftMs":0}})";
}

void Upstream::announce(const std::string &state)
{
    this->store.write("keyed.servers", this->self.id, this->entry(state));
    this->record.write("store: entry of " + this->self.id + " says " + state);
}

void Upstream::crash()
{
    this->ended = true;
    this->server.stop();
}

Milliseconds Upstream::workOf(const Message &)
{
    return Milliseconds(100);
}

bool Upstream::onArrival(const Message &)
{
    return true;
}

std::string Upstream::refuse(const Message &request, int status)
{
    return formatResponse(status,
                          {{"Request-Id", request.header("Request-Id")},
                           {"Not-Executed", "1"},
                           {"Upstream-Instance", this->self.id}},
                          "");
}

std::string Upstream::run(const Message &request)
{
    const std::string id = request.header("Request-Id");
    if (request.header("Target-Instance") != this->self.id)
        return this->refuse(request, 421);
    {
        std::lock_guard lock(this->mutex);
        if (this->running >= this->self.slots + queueLength)
            return this->refuse(request, 503);
        ++this->running;
    }
    this->record.write(this->self.id + " runs " + id);
    std::this_thread::sleep_for(this->workOf(request));
    int left = 0;
    {
        std::lock_guard lock(this->mutex);
        left = --this->running;
    }
    std::vector<std::pair<std::string, std::string>> headers{
            {"Request-Id", id},
            {"Upstream-Signature", this->self.id + "." + id},
            {"Upstream-Load", std::to_string(left) + ",0," + std::to_string(this->self.slots)}};
    if (this->leaving)
        headers.emplace_back("Server-Leaving", "1");
    return formatResponse(200, headers, "answer to " + id);
}

void Upstream::serve(const std::shared_ptr<Connection> &connection)
{
    Message request;
    while (!this->ended && connection->read(request)) {
        if (request.target == "/health") {
            connection->write(formatResponse(200, {{"Upstream-Instance", this->self.id}}, ""));
            continue;
        }
        if (!this->onArrival(request))
            return;
        const std::string response = this->run(request);
        if (this->ended || !connection->write(response))
            return;
    }
}

} // namespace review
