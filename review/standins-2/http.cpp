// Sockets, and the framing of messages by length or in chunks.
#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <stdexcept>

namespace review {

namespace {

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

void disableDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void parseHeader(const std::string &text, Message &message)
{
    const std::size_t lineEnd = text.find("\r\n");
    const std::string line = text.substr(0, lineEnd);
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (line.starts_with("HTTP/")) {
        message.status = std::stoi(line.substr(first + 1, 3));
    } else {
        message.method = line.substr(0, first);
        message.target = line.substr(first + 1, second - first - 1);
    }
    std::size_t begin = lineEnd + 2;
    while (begin < text.size()) {
        const std::size_t end = text.find("\r\n", begin);
        const std::string field = text.substr(begin, end - begin);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = field.find_first_not_of(" \t", colon + 1);
            message.headers.emplace_back(field.substr(0, colon),
                                         value == std::string::npos ? "" : field.substr(value));
        }
        begin = end + 2;
    }
}

} // namespace

std::string Message::header(const std::string &name) const
{
    for (const auto &[field, value] : this->headers) {
        if (strcasecmp(field.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string formatResponse(int status,
                           const std::vector<std::pair<std::string, std::string>> &headers,
                           const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Connection::~Connection()
{
    ::close(this->descriptor);
}

bool Connection::fill()
{
    char bytes[64 * 1024];
    const ssize_t size = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool Connection::readHeader(Message &message)
{
    message = Message();
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill())
            return false;
    }
    parseHeader(this->buffer.substr(0, end + 2), message);
    this->buffer.erase(0, end + 4);
    return true;
}

bool Connection::readBody(Message &message)
{
    if (message.header("Transfer-Encoding") == "chunked") {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill())
                    return false;
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, lineEnd), nullptr, 16);
            while (this->buffer.size() < lineEnd + 2 + size + 2) {
                if (!this->fill())
                    return false;
            }
            message.body += this->buffer.substr(lineEnd + 2, size);
            this->buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->buffer.size() < size) {
        if (!this->fill())
            return false;
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
}

bool Connection::read(Message &message)
{
    return this->readHeader(message) && this->readBody(message);
}

bool Connection::readSome(std::string &bytes)
{
    if (this->buffer.empty() && !this->fill())
        return false;
    bytes = std::exchange(this->buffer, {});
    return true;
}

bool Connection::write(const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size =
                ::send(this->descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void Connection::shutdown(bool reset)
{
    if (reset) {
        // Dissolves the association, which resets the connection at once.
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(this->descriptor, &none, sizeof none);
        return;
    }
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void Connection::setReadTimeout(std::chrono::milliseconds timeout)
{
    timeval value{};
    value.tv_sec = timeout.count() / 1000;
    value.tv_usec = timeout.count() % 1000 * 1000;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

std::shared_ptr<Connection> connectTo(const Address &to)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_shared<Connection>(descriptor);
    const sockaddr_in address = socketAddress(to);
    disableDelay(descriptor);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        return nullptr;
    return connection;
}

std::optional<Message> exchange(const Address &to, const std::string &request,
                                std::chrono::milliseconds timeout)
{
    const auto connection = connectTo(to);
    if (!connection)
        return std::nullopt;
    connection->setReadTimeout(timeout);
    Message response;
    if (!connection->write(request) || !connection->read(response))
        return std::nullopt;
    return response;
}

Server::Server(Address listenAddress, Handler connectionHandler)
    : address(std::move(listenAddress)), handler(std::move(connectionHandler))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = socketAddress(this->address);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0
        || ::listen(this->listener, 512) != 0)
        throw std::runtime_error("can't listen on " + this->address.text());
    this->acceptor = std::thread([this] { this->acceptLoop(); });
}

void Server::acceptLoop()
{
    while (!this->stopped) {
        pollfd waiting{this->listener, POLLIN, 0};
        if (::poll(&waiting, 1, 50) <= 0)
            continue;
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        disableDelay(descriptor);
        const auto connection = std::make_shared<Connection>(descriptor);
        {
            std::lock_guard lock(this->mutex);
            std::erase_if(this->connections, [](const auto &weak) { return weak.expired(); });
            this->connections.push_back(connection);
        }
        std::thread([handle = this->handler, connection] { handle(connection); }).detach();
    }
}

void Server::stop()
{
    if (this->stopped.exchange(true))
        return;
    this->acceptor.join();
    ::close(this->listener);
    std::lock_guard lock(this->mutex);
    for (const auto &weak : this->connections) {
        if (const auto connection = weak.lock())
            connection->shutdown(true);
    }
}

} // namespace review
