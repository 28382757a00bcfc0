// A network link that can be cut silently.
#pragma once

#include "http.h"

namespace review {

/// Forwards connections from `listenAddress` to `target`. Once cut, it forwards nothing in either
/// direction and accepts connections without serving them, as a partition does.
class Link
{
public:
    Link(const Address &listenAddress, Address target);

    void cut() { this->isCut = true; }

private:
    void forward(const std::shared_ptr<Connection> &from, const std::shared_ptr<Connection> &to);

    const Address target;
    std::atomic<bool> isCut{false};
    Server server; // Destroyed first.
};

} // namespace review
