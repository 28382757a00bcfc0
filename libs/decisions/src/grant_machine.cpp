// Transition table of GrantStateMachine (Boost.MSM).
#include "amaranthdale/decisions/grant_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranthdale::decisions {

namespace {

struct Offer
{ };
struct Accept
{ };
struct Revoke
{ };
struct Expire
{ };

struct Definition : boost::msm::front::state_machine_def<Definition>
{
    struct Expired : boost::msm::front::state<>
    { };
    struct Offered : boost::msm::front::state<>
    { };
    struct Held : boost::msm::front::state<>
    { };
    struct Revoking : boost::msm::front::state<>
    { };
    using initial_state = Expired; // NOLINT(readability-identifier-naming): name set by MSM

    template<class From, class Event, class To>
    using Row = boost::msm::front::Row<From, Event, To>;

    struct transition_table // NOLINT(readability-identifier-naming): name set by MSM
        : boost::mpl::vector<Row<Expired, Offer, Offered>, Row<Offered, Accept, Held>,
                             Row<Offered, Expire, Expired>, Row<Offered, Revoke, Revoking>,
                             Row<Held, Revoke, Revoking>, Row<Held, Expire, Expired>,
                             Row<Revoking, Accept, Held>, Row<Revoking, Expire, Expired>>
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

struct GrantStateMachine::Impl
{
    StateMachine stateMachine;
};

GrantStateMachine::GrantStateMachine() : impl(std::make_unique<Impl>())
{
    this->impl->stateMachine.start();
}

GrantStateMachine::~GrantStateMachine() = default;
GrantStateMachine::GrantStateMachine(GrantStateMachine &&other) noexcept = default;
GrantStateMachine &GrantStateMachine::operator=(GrantStateMachine &&other) noexcept = default;

void GrantStateMachine::offer()
{
    this->impl->stateMachine.process_event(Offer());
}

void GrantStateMachine::accept()
{
    this->impl->stateMachine.process_event(Accept());
}

void GrantStateMachine::revoke()
{
    this->impl->stateMachine.process_event(Revoke());
}

void GrantStateMachine::expire()
{
    this->impl->stateMachine.process_event(Expire());
}

GrantPhase GrantStateMachine::phase() const
{
    const StateMachine &stateMachine = this->impl->stateMachine;
    if (isIn<Definition::Expired>(stateMachine))
        return GrantPhase::Expired;
    if (isIn<Definition::Offered>(stateMachine))
        return GrantPhase::Offered;
    return isIn<Definition::Held>(stateMachine) ? GrantPhase::Held : GrantPhase::Revoking;
}

} // namespace amaranthdale::decisions
