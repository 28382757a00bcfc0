// Cost of recording a finished request, with one worker and with workers that contend for the
// recorder's only lock.
#include "amaranthdale/report/recorder.h"

#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

using namespace amaranthdale;

namespace {

constexpr int eventsPerWorker = 1'000'000;
constexpr int serverCount = 34;

void record(report::Recorder &recorder, int worker)
{
    report::RequestFinished event;
    event.service = core::ServiceName("stockroom");
    event.dataCentre = core::DataCentreName("gasabo");
    for (int number = 0; number < eventsPerWorker; ++number) {
        event.server = core::ServerName("s" + std::to_string((number + worker) % serverCount));
        event.latency = std::chrono::microseconds(1000 + number % 977);
        recorder.requestFinished(event, std::chrono::steady_clock::now());
    }
}

void measure(int workerCount)
{
    report::Recorder recorder({core::InstanceName("i1"), core::DataCentreName("gasabo")});
    recorder.documentApplied(core::ServiceName("stockroom"), {}, core::LogOffset(1));
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (int worker = 0; worker < workerCount; ++worker)
        workers.emplace_back([&recorder, worker] { record(recorder, worker); });
    for (std::thread &worker : workers)
        worker.join();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    const double events = static_cast<double>(workerCount) * eventsPerWorker;
    std::printf("workers=%d events_per_s=%.0f ns_per_event_and_worker=%.0f\n", workerCount,
                events / elapsed.count(), elapsed.count() * 1e9 / eventsPerWorker);
}

} // namespace

int main()
{
    measure(1);
    measure(4);
}
