// One proxied connection: two flows between a client and the target.
#pragma once

#include "amaranthdale/clock/clock.h"
#include "amaranthdale/tables/guarded.h"
#include "fault_proxy/proxy_faults.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace amaranthdale::tools {

using SharedFaults = tables::Guarded<ProxyFaults>;
using ErrorCode = boost::system::error_code;

/// Runs on the strand of its sockets; methods without a note may be called from any thread.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// `client` belongs to a strand. `faults` and `clock` must outlive the connection.
    ProxyConnection(Tcp::socket client, clock::Clock &clock, SharedFaults &faults);

    void start(const Tcp::endpoint &target);

    /// Looks at the faults again.
    void onFaultsChanged();

    void close();

    /// Closes both sides with a reset.
    void reset();

private:
    // Bytes that wait for their time; empty data stands for the end of the flow.
    struct Piece
    {
        core::TimePoint due;
        std::string data;
    };

    // One direction. Invariant: at most one read and one write at a time.
    struct Flow
    {
        Tcp::socket *from = nullptr;
        Tcp::socket *to = nullptr;
        FlowFaults ProxyFaults::*faults = nullptr;
        std::array<char, 16 * 1024> buffer{};
        std::deque<Piece> pieces;
        std::size_t waitingBytes = 0;
        bool reading = false;
        bool writing = false;
        bool ended = false; // The source has ended or failed.
    };

    void read(Flow &flow);
    void onRead(Flow &flow, const ErrorCode &error, std::size_t bytes);
    void write(Flow &flow);
    void onWritten(Flow &flow, const ErrorCode &error);
    void passEnd(Flow &flow);
    void wakeAt(Flow &flow, core::TimePoint due);
    void closeNow();
    ProxyFaults present()
    {
        return this->faults.with([](ProxyFaults &held) { return held; });
    }

    Tcp::socket client;
    Tcp::socket target;
    clock::Clock &clock;
    SharedFaults &faults;
    Flow toTarget;
    Flow toClient;
};

} // namespace amaranthdale::tools
