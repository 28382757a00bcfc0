// Streaming response body of the HTTP/1.1 client.
#pragma once

#include "client_connection.h"

#include <atomic>
#include <memory>
#include <string>

namespace amaranthdale::http {

/// Reads from the connection on demand, so that TCP flow control slows down the server when the
/// reader is slow.
class ResponseBody : public core::BodyReader
{
public:
    /// `initial` is the part of the body that arrived with the header.
    ResponseBody(std::shared_ptr<ClientConnection> source, std::uint64_t number,
                 std::string initial)
        : connection(std::move(source)), responseNumber(number), initialData(std::move(initial)),
          finished(std::make_shared<std::atomic<bool>>(false))
    { }

    ~ResponseBody() override
    {
        if (!*this->finished)
            this->connection->cancelBody(this->responseNumber);
    }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (!this->initialData.empty())
            return handler(core::BodyChunk{std::exchange(this->initialData, {}), false});
        this->connection->readBody(this->responseNumber,
                                   [flag = this->finished, handler = std::move(handler)](
                                           core::Outcome<core::BodyChunk> chunk) {
                                       if (!chunk || chunk->last)
                                           *flag = true;
                                       handler(std::move(chunk));
                                   });
    }

private:
    const std::shared_ptr<ClientConnection> connection;
    const std::uint64_t responseNumber;
    std::string initialData;
    // Shared with a pending read, which may complete after this object is destroyed.
    const std::shared_ptr<std::atomic<bool>> finished;
};

} // namespace amaranthdale::http
