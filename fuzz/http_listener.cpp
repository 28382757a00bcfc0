// Fuzz target for the HTTP/1.1 listener, which gets the input as raw bytes.
#include "fuzz_main.h"
#include "listener_input.h"

#include "amaranthdale/http/server.h"

namespace amaranthdale::fuzz {

std::vector<std::string> seedInputs()
{
    return {"GET /till/1 HTTP/1.1\r\nHost: a\r\nX-Brand: b\r\n\r\n",
            "POST /till HTTP/1.1\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.0\r\n\r\n",
            "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: "
            "x\r\n\r\n",
            "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok"};
}

void runInput(std::string_view input)
{
    static testing::Workers workers;
    static const auto server = core::attempt([] {
        return http::makeHttpServer(workers.context, testing::anyLoopbackPort, echoHandler());
    });
    sendToListener((*server)->localEndpoint(), input);
}

} // namespace amaranthdale::fuzz
