// Throughput of the transports: caller -> entry instance -> peer -> backend server, bodies of 1 KB.
// Usage: benchmark_forward [REQUESTS [CONCURRENCY]]. Each stage runs on its own threads. Prefer the
// CPU time of the entry instance's four workers to the throughput, as it doesn't depend on other
// load of the machine.
#include "test_support.h"

#include "amaranthdale/http/backend_client.h"
#include "amaranthdale/http/server.h"
#include "amaranthdale/peer/transport.h"

#include <pthread.h>
#include <time.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

using namespace amaranthdale;

namespace {

constexpr std::size_t bodyBytes = 1024;
constexpr std::size_t instanceWorkers = 4;
constexpr std::size_t otherWorkers = 2;

// Worker threads that report their total CPU time.
class MeasuredWorkers
{
public:
    explicit MeasuredWorkers(std::size_t count) : workGuard(this->context.get_executor())
    {
        for (std::size_t i = 0; i < count; ++i)
            this->threads.emplace_back([this] { this->context.run(); });
    }

    ~MeasuredWorkers()
    {
        this->context.stop();
        for (auto &thread : this->threads)
            thread.join();
    }

    std::chrono::duration<double> cpuTime()
    {
        std::chrono::duration<double> total{};
        for (auto &thread : this->threads) {
            clockid_t clock{};
            timespec time{};
            pthread_getcpuclockid(thread.native_handle(), &clock);
            clock_gettime(clock, &time);
            total += std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
        }
        return total;
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    std::vector<std::thread> threads;
};

// Forwards each request to `destination` through `sender`.
class Forwarder : public core::RequestHandler
{
public:
    Forwarder(core::HttpSender &nextSender, core::Endpoint endpoint)
        : sender(nextSender), destination(std::move(endpoint))
    { }

    std::shared_ptr<core::Exchange> handle(core::HttpRequest request,
                                           core::ResponseHandler respond) override
    {
        return this->sender.send(this->destination, std::move(request), std::chrono::seconds(10),
                                 std::move(respond));
    }

private:
    core::HttpSender &sender;
    const core::Endpoint destination;
};

// Closed-loop load: keeps a fixed number of requests in flight until all are sent.
class LoadGenerator
{
public:
    LoadGenerator(core::HttpSender &loadSender, core::Endpoint endpoint, int requests)
        : sender(loadSender), destination(std::move(endpoint)), unsent(requests),
          unanswered(requests)
    { }

    void run(int concurrency)
    {
        for (int i = 0; i < concurrency; ++i)
            this->sendNext();
        this->done.get_future().wait();
    }

    int failures() const { return this->failed; }

private:
    void sendNext()
    {
        if (this->unsent.fetch_sub(1) <= 0)
            return;
        this->sender.send(this->destination, {"POST", "/till/1", {}, std::string(bodyBytes, 'b')},
                          std::chrono::seconds(10),
                          [this](auto outcome) { this->onResponse(std::move(outcome)); });
    }

    void onResponse(core::Outcome<core::HttpResponse> outcome)
    {
        if (!outcome)
            return this->onBody(outcome.error());
        core::readWholeBody(outcome->body, 2 * bodyBytes,
                            [this](auto body) { this->onBody(std::move(body)); });
    }

    void onBody(const core::Outcome<std::string> &body)
    {
        if (!body || body->size() != bodyBytes)
            ++this->failed;
        this->sendNext();
        if (--this->unanswered == 0)
            this->done.set_value();
    }

    core::HttpSender &sender;
    const core::Endpoint destination;
    std::atomic<int> unsent;
    std::atomic<int> unanswered;
    std::atomic<int> failed{0};
    std::promise<void> done;
};

} // namespace

int main(int argc, char **argv)
{
    const int requests = argc > 1 ? std::atoi(argv[1]) : 100'000;
    const int concurrency = argc > 2 ? std::atoi(argv[2]) : 64;
    MeasuredWorkers backendWorkers(otherWorkers);
    MeasuredWorkers peerWorkers(instanceWorkers);
    MeasuredWorkers entryWorkers(instanceWorkers);
    MeasuredWorkers loadWorkers(otherWorkers);

    testing::FunctionHandler echo(
            [](core::HttpRequest request, const core::ResponseHandler &respond) {
                respond(core::makeResponse(200, std::move(request.body)));
                return nullptr;
            });
    auto backend = core::attempt([&] {
        return http::makeHttpServer(backendWorkers.context, testing::anyLoopbackPort, echo);
    });
    auto backendClient = http::makeBackendClient(peerWorkers.context);
    Forwarder toBackend(*backendClient, (*backend)->localEndpoint());
    auto peer = core::attempt([&] {
        return peer::makePeerServer(peerWorkers.context, testing::anyLoopbackPort, toBackend);
    });
    auto peerClient = peer::makePeerClient(entryWorkers.context);
    Forwarder toPeer(*peerClient, (*peer)->localEndpoint());
    auto entry = core::attempt([&] {
        return http::makeHttpServer(entryWorkers.context, testing::anyLoopbackPort, toPeer);
    });
    auto loadClient = http::makeBackendClient(loadWorkers.context);

    LoadGenerator load(*loadClient, (*entry)->localEndpoint(), requests);
    const auto begin = std::chrono::steady_clock::now();
    load.run(concurrency);
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const auto perRequest = [requests](MeasuredWorkers &workers) {
        return 1e6 * workers.cpuTime().count() / requests;
    };
    std::printf("requests=%d concurrency=%d failures=%d per_second=%.0f entry_cpu_us=%.1f "
                "controller_cpu_us=%.1f backend_cpu_us=%.1f load_cpu_us=%.1f\n",
                requests, concurrency, load.failures(), requests / elapsed.count(),
                perRequest(entryWorkers), perRequest(peerWorkers), perRequest(backendWorkers),
                perRequest(loadWorkers));
    return load.failures() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
