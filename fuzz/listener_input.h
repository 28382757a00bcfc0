// Sends one input to a listener and checks that the listener lives on.
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

/// Writes the input, ends the sending side and reads until the listener closes. A listener that
/// keeps the connection open is a fault: its client has gone.
inline void sendToListener(const core::Endpoint &endpoint, std::string_view input)
{
    testing::RawSocket client(endpoint);
    client.write(input);
    client.endWriting();
    client.readUntil();
    if (client.sawEnd())
        return;
    std::cerr << "the listener kept the connection of a client that had gone\n";
    std::abort();
}

} // namespace amaranthdale::fuzz
