// Detection of the end of a response body.
#include "observed_body.h"

namespace amaranthdale::daemon {

// Calls the handler once, on the first of the last chunk, an error or destruction.
struct ObservedBody::End
{
    explicit End(EndHandler whenEnded) : handler(std::move(whenEnded)) { }

    void signal(bool whole)
    {
        if (!this->signalled.exchange(true))
            this->handler(whole);
    }

    EndHandler handler;
    std::atomic<bool> signalled = false;
};

ObservedBody::ObservedBody(std::shared_ptr<core::BodyReader> bodySource, EndHandler whenEnded)
    : source(std::move(bodySource)), end(std::make_shared<End>(std::move(whenEnded)))
{ }

ObservedBody::~ObservedBody()
{
    this->end->signal(false);
}

void ObservedBody::read(std::function<void(core::Outcome<core::BodyChunk>)> handler)
{
    this->source->read([observed = this->end,
                        handler = std::move(handler)](core::Outcome<core::BodyChunk> chunk) {
        if (!chunk || chunk->last)
            observed->signal(static_cast<bool>(chunk));
        handler(std::move(chunk));
    });
}

} // namespace amaranthdale::daemon
