// State machine of an instance as seen by a peer.
#pragma once

#include <memory>

namespace amaranthdale::decisions {

enum class InstancePhase { Joining, Serving, Suspect, Draining, Gone };

/// Joining until its first message arrives, Suspect while silent. Gone is final, because a
/// restarted process has a new incarnation. Events that don't apply to the current phase are
/// ignored.
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
