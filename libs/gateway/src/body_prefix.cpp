// Reads the beginning of a body and joins it with the rest.
#include "body_prefix.h"

namespace amaranthdale::gateway {

namespace {

class PrefixedBody : public core::BodyReader
{
public:
    PrefixedBody(BodyPrefix bodyPrefix, std::shared_ptr<core::BodyReader> remaining,
                 clock::Clock &bodyClock, core::TimePoint bodyExpiry)
        : prefix(std::move(bodyPrefix)), rest(std::move(remaining)), clock(bodyClock),
          expiry(bodyExpiry), prefixPending(this->prefix.complete || !this->prefix.text.empty())
    { }

    void read(std::function<void(core::Outcome<core::BodyChunk>)> handler) override
    {
        if (std::exchange(this->prefixPending, false))
            return handler(
                    core::BodyChunk{std::exchange(this->prefix.text, {}), this->prefix.complete});
        // The next read begins when the prefix has been written to the caller.
        this->prefix.share.reset();
        if (this->rest && this->clock.now() < this->expiry)
            return this->rest->read(std::move(handler));
        this->rest.reset();
        handler(core::Error{core::ErrorKind::Timeout,
                            "the response did not end in time; raise the timeout of the route"});
    }

private:
    BodyPrefix prefix;
    std::shared_ptr<core::BodyReader> rest;
    clock::Clock &clock;
    const core::TimePoint expiry;
    bool prefixPending;
};

void readNext(std::shared_ptr<core::BodyReader> body, std::shared_ptr<BodyPrefix> prefix,
              std::size_t limit, std::function<void(core::Outcome<BodyPrefix>)> handler)
{
    const auto reader = body.get();
    reader->read([body = std::move(body), prefix = std::move(prefix), limit,
                  handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) mutable {
        if (!chunk)
            return handler(chunk.error());
        const bool mayGrow = prefix->share->append(prefix->text, chunk->data);
        prefix->complete = chunk->last;
        if (chunk->last || !mayGrow || prefix->text.size() > limit)
            return handler(std::move(*prefix));
        readNext(std::move(body), std::move(prefix), limit, std::move(handler));
    });
}

} // namespace

void readPrefix(std::shared_ptr<core::BodyReader> body, std::size_t limit,
                std::shared_ptr<memory::Budget> budget,
                std::function<void(core::Outcome<BodyPrefix>)> handler)
{
    auto prefix = std::make_shared<BodyPrefix>();
    prefix->share = std::make_shared<BufferShare>(std::move(budget));
    readNext(std::move(body), std::move(prefix), limit, std::move(handler));
}

std::shared_ptr<core::BodyReader> joinBody(BodyPrefix prefix,
                                           std::shared_ptr<core::BodyReader> rest,
                                           clock::Clock &clock, core::TimePoint expiry)
{
    return std::make_shared<PrefixedBody>(std::move(prefix), std::move(rest), clock, expiry);
}

} // namespace amaranthdale::gateway
