// A proxied connection: one flow per direction between a client and the target.
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

/// Runs on the strand of its sockets; public methods may be called from any thread.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// The executor of `client` must be a strand. `faults` and `clock` must outlive the connection.
    ProxyConnection(Tcp::socket client, clock::Clock &clock, SharedFaults &faults);

    void start(const Tcp::endpoint &target);

    /// Applies changed faults: closes the connection or resumes the delayed writes.
    void onFaultsChanged();

    void close();

    /// Closes both sockets with a TCP reset.
    void reset();

private:
    // Data to forward at `due`; empty data marks the end of the flow.
    struct Chunk
    {
        core::TimePoint due;
        std::string data;
    };

    // One direction. At most one read and one write are pending at a time.
    struct Flow
    {
        Tcp::socket *from = nullptr;
        Tcp::socket *to = nullptr;
        FlowFaults ProxyFaults::*faults = nullptr;
        std::array<char, 16 * 1024> buffer{};
        std::deque<Chunk> chunks;
        std::size_t bufferedBytes = 0;
        bool reading = false;
        bool writing = false;
        bool sourceEnded = false; // The source was closed or failed.
    };

    void read(Flow &flow);
    void onRead(Flow &flow, const ErrorCode &error, std::size_t bytes);
    void write(Flow &flow);
    void onWritten(Flow &flow, const ErrorCode &error);
    void forwardEnd(Flow &flow);
    void scheduleWrite(Flow &flow, core::TimePoint due);
    void closeSockets();
    ProxyFaults currentFaults()
    {
        return this->faults.with([](ProxyFaults &shared) { return shared; });
    }

    Tcp::socket client;
    Tcp::socket target;
    clock::Clock &clock;
    SharedFaults &faults;
    Flow toTarget;
    Flow toClient;
};

} // namespace amaranthdale::tools
