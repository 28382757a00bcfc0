// Fuzz target: bytes sent to the HTTP/2 listener.
#include "fuzz_main.h"
#include "listener_input.h"

#include "amaranthdale/peer/transport.h"

namespace amaranthdale::fuzz {

namespace {

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

std::string frame(char type, char flags, char stream, std::string_view payload)
{
    std::string text{'\0', '\0',  static_cast<char>(payload.size()), type, flags, '\0', '\0',
                     '\0', stream};
    return text.append(payload);
}

} // namespace

std::vector<std::string> samples()
{
    const std::string settings = frame(4, 0, 0, "");
    // HPACK: :method POST, :scheme http, :path /, :authority a.
    const std::string headers = "\x83\x86\x84\x41\x01"
                                "a";
    const std::string begin = std::string(preface) + settings;
    return {begin + frame(1, 5, 1, headers),
            begin + frame(1, 4, 1, headers) + frame(0, 1, 1, "body"),
            begin + frame(1, 4, 1, headers) + frame(3, 0, 1, std::string("\0\0\0\x08", 4)),
            begin + frame(6, 0, 0, "pingpong") + frame(8, 0, 0, std::string("\0\0\1\0", 4))
                    + frame(7, 0, 0, std::string(8, '\0'))};
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
