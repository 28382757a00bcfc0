// HTTP/2 client for peers.
#include "peer_link.h"

#include <map>
#include <mutex>

namespace amaranthdale::peer {

namespace {

class PeerClient : public core::HttpSender
{
public:
    PeerClient(boost::asio::io_context &ioContext, SessionLimits sessionLimits)
        : context(ioContext), limits(sessionLimits)
    { }

    ~PeerClient() override
    {
        for (const auto &[endpoint, link] : this->links)
            link->close();
    }

    std::shared_ptr<core::Exchange> send(const core::Endpoint &to, core::HttpRequest request,
                                         core::Duration timeout,
                                         core::ResponseHandler handler) override
    {
        return this->findOrCreateLink(to)->submit(std::move(request), timeout, std::move(handler));
    }

private:
    std::shared_ptr<PeerLink> findOrCreateLink(const core::Endpoint &to)
    {
        std::lock_guard lock(this->mutex);
        auto &link = this->links[to];
        if (!link)
            link = std::make_shared<PeerLink>(this->context, to, this->limits);
        return link;
    }

    boost::asio::io_context &context;
    const SessionLimits limits;
    std::mutex mutex; // Leaf lock: no other lock is taken while it is held.
    std::map<core::Endpoint, std::shared_ptr<PeerLink>> links;
};

} // namespace

std::unique_ptr<core::HttpSender> makePeerClient(boost::asio::io_context &context,
                                                 SessionLimits limits)
{
    return std::make_unique<PeerClient>(context, limits);
}

} // namespace amaranthdale::peer
