// Blocking waits on timers of a clock.
#include "amaranthdale/cli/blocking_clock.h"

#include "wait_for.h"

namespace amaranthdale::cli {

namespace {

class ClockPacer : public BlockingClock
{
public:
    explicit ClockPacer(clock::Clock &clockToUse) : clock(clockToUse) { }

    core::TimePoint now() const override { return this->clock.now(); }

    void sleepFor(core::Duration duration) override
    {
        waitFor<core::Success>([&](auto handler) {
            this->clock.schedule(this->clock.now() + duration,
                                 [handler] { handler(core::Success{}); });
        });
    }

private:
    clock::Clock &clock;
};

} // namespace

std::unique_ptr<BlockingClock> makeBlockingClock(clock::Clock &clock)
{
    return std::make_unique<ClockPacer>(clock);
}

} // namespace amaranthdale::cli
