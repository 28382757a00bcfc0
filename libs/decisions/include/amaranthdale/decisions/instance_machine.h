// The state machine of an instance as its peers see it.
#pragma once

#include <memory>

namespace amaranthdale::decisions {

enum class InstancePhase { Joining, Serving, Suspect, Draining, Gone };

/// Joining until first heard, suspect while silent; gone is final, as a new process has a new
/// incarnation.
class InstanceMachine
{
public:
    InstanceMachine();
    ~InstanceMachine();
    InstanceMachine(InstanceMachine &&other) noexcept;
    InstanceMachine &operator=(InstanceMachine &&other) noexcept;

    void heard();
    void silent();
    void leave();
    void finish();
    InstancePhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace amaranthdale::decisions
