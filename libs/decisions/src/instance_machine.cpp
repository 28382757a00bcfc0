// Transition table of InstanceMachine (Boost.MSM).
#include "amaranthdale/decisions/instance_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthdale::decisions {

namespace {

struct Heard
{ };
struct Silent
{ };
struct Leave
{ };
struct Finish
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
        : boost::mpl::vector<Row<Joining, Heard, Serving>, Row<Serving, Silent, Suspect>,
                             Row<Suspect, Heard, Serving>, Row<Serving, Leave, Draining>,
                             Row<Draining, Finish, Gone>, Row<Joining, Leave, Draining>,
                             Row<Suspect, Leave, Draining>, Row<Joining, Finish, Gone>,
                             Row<Serving, Finish, Gone>, Row<Suspect, Finish, Gone>>
    { };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int) // NOLINT(readability-identifier-naming)
    { }
};

using BackEnd = boost::msm::back::state_machine<Definition>;

template<class State>
bool isIn(const BackEnd &machine)
{
    constexpr int index = boost::msm::back::get_state_id<BackEnd::stt, State>::value;
    return machine.current_state()[0] == index;
}

} // namespace

struct InstanceMachine::Machine
{
    BackEnd backEnd;
};

InstanceMachine::InstanceMachine() : machine(std::make_unique<Machine>())
{
    this->machine->backEnd.start();
}

InstanceMachine::~InstanceMachine() = default;
InstanceMachine::InstanceMachine(InstanceMachine &&other) noexcept = default;
InstanceMachine &InstanceMachine::operator=(InstanceMachine &&other) noexcept = default;

void InstanceMachine::heard()
{
    this->machine->backEnd.process_event(Heard());
}

void InstanceMachine::silent()
{
    this->machine->backEnd.process_event(Silent());
}

void InstanceMachine::leave()
{
    this->machine->backEnd.process_event(Leave());
}

void InstanceMachine::finish()
{
    this->machine->backEnd.process_event(Finish());
}

InstancePhase InstanceMachine::phase() const
{
    const BackEnd &backEnd = this->machine->backEnd;
    if (isIn<Definition::Joining>(backEnd))
        return InstancePhase::Joining;
    if (isIn<Definition::Serving>(backEnd))
        return InstancePhase::Serving;
    if (isIn<Definition::Suspect>(backEnd))
        return InstancePhase::Suspect;
    return isIn<Definition::Draining>(backEnd) ? InstancePhase::Draining : InstancePhase::Gone;
}

} // namespace amaranthdale::decisions
