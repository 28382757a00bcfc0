// Blocking HTTP/1.1 connections, with one thread for each connection of a server.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// An IPv4 address in text form and a port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

/// A request or a response.
struct Message
{
    std::string method; ///< Empty in a response.
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of the first field called `name`, or an empty text.
    std::string header(const std::string &name) const;
};

/// Formats a response, with its length.
std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           const std::string &body);

/// A connected socket. Writes and resets may come from any thread, reads from one only.
class Connection
{
public:
    explicit Connection(int socketDescriptor) : descriptor(socketDescriptor) { }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Reads the next message. Returns false at the end of the connection or if it is malformed.
    bool read(Message &message);

    /// Reads the header of the next message only; the body stays unread.
    bool readHeader(Message &message);

    /// Reads the body that the header announces.
    bool readBody(Message &message);

    /// Reads what has arrived, at least one byte. Returns false at the end of the connection.
    bool readSome(std::string &bytes);

    bool write(const std::string &text);

    /// Ends reads and writes in progress. With `reset`, the other side gets a reset.
    void shutdown(bool reset);

    /// Bounds each read.
    void setReadTimeout(std::chrono::milliseconds timeout);

private:
    bool fill();

    const int descriptor;
    std::string buffer;
};

/// Connects to `to`; nothing if that fails.
std::shared_ptr<Connection> connectTo(const Address &to);

/// Sends `request` on a new connection and waits for the response.
std::optional<Message> exchange(const Address &to, const std::string &request,
                                std::chrono::milliseconds timeout);

/// Accepts connections and calls `handler` for each on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(const std::shared_ptr<Connection> &)>;

    Server(Address listenAddress, Handler connectionHandler);
    ~Server() { this->stop(); }

    /// Closes the listener and all connections, with a reset of each, and waits for the threads of
    /// connections that have ended.
    void stop();

    const Address address;

private:
    void acceptLoop();

    const Handler handler;
    int listener = -1;
    std::atomic<bool> stopped{false};
    std::mutex mutex;
    std::vector<std::weak_ptr<Connection>> connections;
    std::thread acceptor;
};

} // namespace review
