// Sends one input to a listener and checks that the listener then closes the connection.
#pragma once

#include "raw_socket.h"
#include "test_support.h"

#include <cstdlib>
#include <iostream>

namespace amaranthdale::fuzz {

/// Answers every request with its body.
inline testing::FunctionHandler &echoHandler()
{
    static testing::FunctionHandler handler(
            [](core::HttpRequest request, const core::ResponseHandler &respond) {
                respond(core::makeResponse(200, std::move(request.body)));
                return nullptr;
            });
    return handler;
}

/// Writes the input, shuts down the sending side and reads until the listener closes. Aborts if the
/// listener keeps the half-closed connection open, as it would leak connections of departed
/// clients.
inline void sendToListener(const core::Endpoint &endpoint, std::string_view input)
{
    testing::RawSocket client(endpoint);
    client.write(input);
    client.shutdownSend();
    client.readUntil();
    if (client.isClosed())
        return;
    std::cerr << "the listener kept a connection open that its client had half closed\n";
    std::abort();
}

} // namespace amaranthdale::fuzz
