// Response helpers shared by the stand-ins.
#include "common/replies.h"

#include "amaranthdale/core/hash.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <cstdio>

namespace amaranthdale::tools {

namespace {

constexpr std::uint64_t bodyHashSeed = 0;

class BrokenBody : public core::BodyReader
{
public:
    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        handler(core::Error{core::ErrorKind::ConnectionLost, "injected fault: response lost"});
    }
};

} // namespace

core::HttpResponse replyJson(unsigned status, const boost::json::object &body)
{
    return core::makeResponse(status, boost::json::serialize(body));
}

core::HttpResponse replyError(unsigned status, std::string_view message)
{
    return replyJson(status, {{"error", std::string(message)}});
}

core::HttpResponse makeBrokenResponse()
{
    core::HttpResponse response;
    response.contentLength = 1;
    response.body = std::make_shared<BrokenBody>();
    return response;
}

std::string hashHex(const std::string &body)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(core::stableHash(body, bodyHashSeed)));
    return text.data();
}

void respondAfter(clock::Clock &clock, core::Duration delay, core::ResponseHandler respond,
                  core::HttpResponse response)
{
    if (delay == core::Duration::zero())
        return respond(std::move(response));
    clock.schedule(
            clock.now() + delay,
            [respond = std::move(respond), response = std::move(response)] { respond(response); });
}

} // namespace amaranthdale::tools
