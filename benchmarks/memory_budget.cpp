// Processor time that the memory budget adds to a request: of an ordinary one, which holds and
// gives back once, and of one whose body arrives in several reads. Usage: benchmark_memory_budget.
#include "amaranthdale/memory/budget.h"

#include <time.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <thread>
#include <vector>

using namespace amaranthdale;

namespace {

constexpr int requests = 2'000'000;

// Processor time of the calling thread.
std::chrono::duration<double, std::nano> cpuTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

struct Holder : memory::Evictable
{
    void evict() override { }
};

void runOrdinary(const std::shared_ptr<memory::Budget> &budget)
{
    memory::Hold hold(budget);
    for (int request = 0; request < requests; ++request) {
        hold.tryResize(2048);
        hold.tryResize(0);
    }
}

// Four reads of an incomplete message.
void runIncomplete(const std::shared_ptr<memory::Budget> &budget)
{
    const auto holder = std::make_shared<Holder>();
    memory::Hold hold(budget);
    for (int request = 0; request < requests; ++request) {
        for (std::size_t read = 1; read <= 4; ++read) {
            hold.tryResize(read * 16 * 1024);
            budget->setIncomplete(holder, hold.bytes(), core::TimePoint{});
        }
        budget->removeIncomplete(holder.get());
        hold.tryResize(0);
    }
}

void measure(const char *name, int threads,
             const std::function<void(const std::shared_ptr<memory::Budget> &)> &run)
{
    const auto budget = std::make_shared<memory::Budget>(memory::BudgetLimits{.bytes = 1 << 30});
    std::vector<double> times(static_cast<std::size_t>(threads));
    {
        std::vector<std::jthread> workers;
        for (double &time : times) {
            workers.emplace_back([&] {
                const auto begin = cpuTime();
                run(budget);
                time = (cpuTime() - begin).count() / requests;
            });
        }
    }
    double sum = 0;
    for (const double time : times)
        sum += time;
    std::printf("%s threads=%d cpu_ns_per_request=%.1f\n", name, threads, sum / threads);
}

} // namespace

int main()
{
    for (const int threads : {1, 2, 4}) {
        measure("ordinary", threads, runOrdinary);
        measure("incomplete", threads, runIncomplete);
    }
    return 0;
}
