// Transition table of InstanceStateMachine (Boost.MSM).
#include "amaranthdale/decisions/instance_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthdale::decisions {

namespace {

struct MessageReceived
{ };
struct SilenceDetected
{ };
struct StartDraining
{ };
struct MarkGone
{ };

struct Definition : boost::msm::front::state_machine_def<Definition>
{
    struct Joining : boost::msm::front::state<>
    { };
    struct Serving : boost::msm::front::state<>
    { };
    struct Suspect : boost::msm::front::state<>
    { };
    struct Draining : boost::msm::front::state<>
    { };
    struct Gone : boost::msm::front::state<>
    { };
    using initial_state = Joining; // NOLINT(readability-identifier-naming): name set by MSM

    template<class From, class Event, class To>
    using Row = boost::msm::front::Row<From, Event, To>;

    struct transition_table // NOLINT(readability-identifier-naming): name set by MSM
        : boost::mpl::vector<
                  Row<Joining, MessageReceived, Serving>, Row<Serving, SilenceDetected, Suspect>,
                  Row<Suspect, MessageReceived, Serving>, Row<Serving, StartDraining, Draining>,
                  Row<Draining, MarkGone, Gone>, Row<Joining, StartDraining, Draining>,
                  Row<Suspect, StartDraining, Draining>, Row<Joining, MarkGone, Gone>,
                  Row<Serving, MarkGone, Gone>, Row<Suspect, MarkGone, Gone>>
    { };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int) // NOLINT(readability-identifier-naming)
    { }
};

using StateMachine = boost::msm::back::state_machine<Definition>;

template<class State>
bool isIn(const StateMachine &machine)
{
    constexpr int index = boost::msm::back::get_state_id<StateMachine::stt, State>::value;
    return machine.current_state()[0] == index;
}

} // namespace

struct InstanceStateMachine::Impl
{
    StateMachine stateMachine;
};

InstanceStateMachine::InstanceStateMachine() : impl(std::make_unique<Impl>())
{
    this->impl->stateMachine.start();
}

InstanceStateMachine::~InstanceStateMachine() = default;
InstanceStateMachine::InstanceStateMachine(InstanceStateMachine &&other) noexcept = default;
InstanceStateMachine &InstanceStateMachine::operator=(InstanceStateMachine &&other) noexcept =
        default;

void InstanceStateMachine::messageReceived()
{
    this->impl->stateMachine.process_event(MessageReceived());
}

void InstanceStateMachine::silenceDetected()
{
    this->impl->stateMachine.process_event(SilenceDetected());
}

void InstanceStateMachine::startDraining()
{
    this->impl->stateMachine.process_event(StartDraining());
}

void InstanceStateMachine::markGone()
{
    this->impl->stateMachine.process_event(MarkGone());
}

InstancePhase InstanceStateMachine::phase() const
{
    const StateMachine &stateMachine = this->impl->stateMachine;
    if (isIn<Definition::Joining>(stateMachine))
        return InstancePhase::Joining;
    if (isIn<Definition::Serving>(stateMachine))
        return InstancePhase::Serving;
    if (isIn<Definition::Suspect>(stateMachine))
        return InstancePhase::Suspect;
    return isIn<Definition::Draining>(stateMachine) ? InstancePhase::Draining : InstancePhase::Gone;
}

} // namespace amaranthdale::decisions
