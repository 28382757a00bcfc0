// Counts the active calls of a request handler.
#include "amaranthdale/net/handler_gate.h"

namespace amaranthdale::net {

bool HandlerGate::handle(core::HttpRequest request, core::ResponseHandler respond,
                         std::shared_ptr<core::Exchange> &exchange)
{
    if (!this->enter())
        return false;
    exchange = this->handler.handle(std::move(request), std::move(respond));
    this->leave();
    return true;
}

void HandlerGate::close()
{
    std::unique_lock lock(this->mutex);
    this->closed = true;
    this->noActiveCalls.wait(lock, [this] { return this->activeCalls == 0; });
}

bool HandlerGate::enter()
{
    std::lock_guard lock(this->mutex);
    if (this->closed)
        return false;
    ++this->activeCalls;
    return true;
}

void HandlerGate::leave()
{
    std::lock_guard lock(this->mutex);
    if (--this->activeCalls == 0 && this->closed)
        this->noActiveCalls.notify_all();
}

} // namespace amaranthdale::net
