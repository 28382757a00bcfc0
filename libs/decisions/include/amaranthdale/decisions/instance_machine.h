// State machine of an instance as seen by a peer.
#pragma once

#include <memory>

namespace amaranthdale::decisions {

enum class InstancePhase { Joining, Serving, Suspect, Draining, Gone };

/// Joining until its first message arrives, Suspect while silent. Gone is final, because a
/// restarted process has a new incarnation. Events that don't apply to the current phase are
/// ignored.
class InstanceStateMachine
{
public:
    InstanceStateMachine();
    ~InstanceStateMachine();
    InstanceStateMachine(InstanceStateMachine &&other) noexcept;
    InstanceStateMachine &operator=(InstanceStateMachine &&other) noexcept;

    void messageReceived();
    void silenceDetected();
    void startDraining();
    void markGone();
    InstancePhase phase() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace amaranthdale::decisions
