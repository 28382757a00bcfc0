// Reads the beginning of a body and joins it with the rest.
#include "body_prefix.h"

namespace amaranthdale::gateway {

namespace {

class PrefixedBody : public core::BodyReader
{
public:
    PrefixedBody(std::string bodyPrefix, std::shared_ptr<core::BodyReader> remaining,
                 clock::Clock &bodyClock, core::TimePoint bodyExpiry)
        : prefix(std::move(bodyPrefix)), rest(std::move(remaining)), clock(bodyClock),
          expiry(bodyExpiry)
    { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (!this->prefix.empty())
            return handler(core::BodyChunk{std::exchange(this->prefix, {}), false});
        if (this->clock.now() < this->expiry)
            return this->rest->read(std::move(handler));
        this->rest.reset();
        handler(core::Error{core::ErrorKind::Timeout,
                            "the response did not end in time; raise the timeout of the route"});
    }

private:
    std::string prefix;
    std::shared_ptr<core::BodyReader> rest;
    clock::Clock &clock;
    const core::TimePoint expiry;
};

} // namespace

void readPrefix(std::shared_ptr<core::BodyReader> body, std::shared_ptr<std::string> text,
                std::size_t limit, std::function<void(core::Outcome<BodyPrefix>)> handler)
{
    const auto reader = body.get();
    reader->read([body = std::move(body), text = std::move(text), limit,
                  handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) mutable {
        if (!chunk)
            return handler(chunk.error());
        *text += chunk->data;
        if (chunk->last || text->size() > limit)
            return handler(BodyPrefix{std::move(*text), chunk->last});
        readPrefix(std::move(body), std::move(text), limit, std::move(handler));
    });
}

std::shared_ptr<core::BodyReader> joinBody(std::string prefix,
                                           std::shared_ptr<core::BodyReader> rest,
                                           clock::Clock &clock, core::TimePoint expiry)
{
    return std::make_shared<PrefixedBody>(std::move(prefix), std::move(rest), clock, expiry);
}

} // namespace amaranthdale::gateway
