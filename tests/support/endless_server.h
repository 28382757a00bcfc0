// A server that sends bytes without end.
#pragma once

#include "raw_socket.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace amaranthdale::testing {

/// Answers one request with `beginning`, then repeats `filler` until the client closes the
/// connection.
class EndlessServer
{
public:
    EndlessServer(std::string beginning, std::string filler)
        : thread([this, start = std::move(beginning), repeated = std::move(filler)] {
              RawSocket connection(this->server.acceptor);
              connection.readUntil("\r\n\r\n");
              std::string block;
              while (block.size() < blockSize)
                  block += repeated;
              bool open = connection.write(start);
              for (; open && this->sent < sentWithoutEnd; this->sent += block.size())
                  open = connection.write(block);
              this->closedByClient = !open;
          })
    { }

    ~EndlessServer() { this->join(); }

    void join()
    {
        if (this->thread.joinable())
            this->thread.join();
    }

    // Well above every size limit of the client, and the socket buffers of both sides.
    static constexpr std::size_t sentWithoutEnd = 64UL * 1024 * 1024;
    static constexpr std::size_t blockSize = 16 * 1024;

    RawServer server;
    std::atomic<std::size_t> sent{0};
    std::atomic<bool> closedByClient{false};

private:
    std::thread thread;
};

} // namespace amaranthdale::testing
