// Body of a response that the HTTP/1.1 client is still receiving.
#pragma once

#include "client_connection.h"

#include <atomic>
#include <memory>
#include <string>

namespace amaranthdale::http {

/// Reads from the connection on demand; the kernel's buffers hold back what isn't asked for.
class ResponseBody : public core::BodyReader
{
public:
    /// `beginning` arrived together with the header.
    ResponseBody(std::shared_ptr<ClientConnection> source, std::uint64_t responseNumber,
                 std::string beginning)
        : connection(std::move(source)), response(responseNumber), first(std::move(beginning)),
          finished(std::make_shared<std::atomic<bool>>(false))
    { }

    ~ResponseBody() override
    {
        if (!*this->finished)
            this->connection->abandonBody(this->response);
    }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (!this->first.empty())
            return handler(core::BodyChunk{std::exchange(this->first, {}), false});
        this->connection->readBody(this->response,
                                   [flag = this->finished, handler = std::move(handler)](
                                           core::Outcome<core::BodyChunk> chunk) {
                                       if (!chunk || chunk->last)
                                           *flag = true;
                                       handler(std::move(chunk));
                                   });
    }

private:
    const std::shared_ptr<ClientConnection> connection;
    const std::uint64_t response;
    std::string first;
    // Shared with a pending read, which may complete after the reader's end.
    const std::shared_ptr<std::atomic<bool>> finished;
};

} // namespace amaranthdale::http
