// Blocking waits on timers of a clock.
#include "amaranthdale/cli/pacer.h"

#include "wait_for.h"

namespace amaranthdale::cli {

namespace {

class ClockPacer : public Pacer
{
public:
    explicit ClockPacer(clock::Clock &clockToUse) : clock(clockToUse) { }

    core::TimePoint now() const override { return this->clock.now(); }

    void pause(core::Duration duration) override
    {
        waitFor<core::Done>([&](auto handler) {
            this->clock.schedule(this->clock.now() + duration,
                                 [handler] { handler(core::Done{}); });
        });
    }

private:
    clock::Clock &clock;
};

} // namespace

std::unique_ptr<Pacer> makePacer(clock::Clock &clock)
{
    return std::make_unique<ClockPacer>(clock);
}

} // namespace amaranthdale::cli
