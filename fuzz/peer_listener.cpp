// Fuzz target for the HTTP/2 listener, which gets the input as raw bytes.
#include "fuzz_main.h"
#include "listener_input.h"

#include "amaranthdale/peer/transport.h"

namespace amaranthdale::fuzz {

namespace {

constexpr std::string_view clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string makeFrame(char type, char flags, char stream, std::string_view payload)
{
    std::string text{'\0', '\0',  static_cast<char>(payload.size()), type, flags, '\0', '\0',
                     '\0', stream};
    return text.append(payload);
}

} // namespace

std::vector<std::string> seedInputs()
{
    const std::string settings = makeFrame(4, 0, 0, "");
    // HPACK: :method POST, :scheme http, :path /, :authority a.
    const std::string headers = "\x83\x86\x84\x41\x01"
                                "a";
    const std::string connectionStart = std::string(clientPreface) + settings;
    return {connectionStart + makeFrame(1, 5, 1, headers),
            connectionStart + makeFrame(1, 4, 1, headers) + makeFrame(0, 1, 1, "body"),
            connectionStart + makeFrame(1, 4, 1, headers)
                    + makeFrame(3, 0, 1, std::string("\0\0\0\x08", 4)),
            connectionStart + makeFrame(6, 0, 0, "pingpong")
                    + makeFrame(8, 0, 0, std::string("\0\0\1\0", 4))
                    + makeFrame(7, 0, 0, std::string(8, '\0'))};
}

void runInput(std::string_view input)
{
    static testing::Workers workers;
    static const auto server = core::attempt([] {
        return peer::makePeerServer(workers.context, testing::anyLoopbackPort, echoHandler());
    });
    sendToListener((*server)->localEndpoint(), input);
}

} // namespace amaranthdale::fuzz
