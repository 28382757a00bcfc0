// State machine of the grant that a controller issues to one backend server.
#pragma once

#include <memory>

namespace amaranthdale::decisions {

enum class GrantPhase { Expired, Offered, Held, Revoking };

/// Starts as Expired. Revoking means that a grant that omits previously granted slots has been sent
/// and not answered yet. Events that don't apply to the current phase are ignored.
class GrantStateMachine
{
public:
    GrantStateMachine();
    ~GrantStateMachine();
    GrantStateMachine(GrantStateMachine &&other) noexcept;
    GrantStateMachine &operator=(GrantStateMachine &&other) noexcept;

    void offer();  ///< A grant that revokes no slots was sent.
    void accept(); ///< The server accepted the newest grant.
    void revoke(); ///< A grant that omits previously granted slots was sent.
    void expire(); ///< The lease expired.
    GrantPhase phase() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace amaranthdale::decisions
