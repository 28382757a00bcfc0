// The state machine of the grant that a controller gives to one backend server.
#pragma once

#include <memory>

namespace amaranthdale::decisions {

enum class GrantPhase { Expired, Offered, Held, Revoking };

/// Expired at first. Revoking means that a grant without some of the slots awaits its response.
class GrantMachine
{
public:
    GrantMachine();
    ~GrantMachine();
    GrantMachine(GrantMachine &&other) noexcept;
    GrantMachine &operator=(GrantMachine &&other) noexcept;

    void offer();  ///< A grant was sent.
    void accept(); ///< The newest grant was accepted.
    void revoke(); ///< A grant without some of the slots was sent.
    void expire(); ///< The lease ended.
    GrantPhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace amaranthdale::decisions
