// Forwarding of a link.
#include "link.h"

#include <chrono>

namespace review {

Link::Link(const Address &listenAddress, Address linkTarget)
    : target(std::move(linkTarget)),
      server(listenAddress, [this](const std::shared_ptr<Connection> &client) {
          const auto remote = connectTo(this->target);
          if (!remote)
              return client->shutdown(true);
          std::thread back([this, client, remote] { this->forward(remote, client); });
          this->forward(client, remote);
          back.join();
      })
{ }

void Link::forward(const std::shared_ptr<Connection> &from, const std::shared_ptr<Connection> &to)
{
    std::string bytes;
    while (from->readSome(bytes)) {
        while (this->isCut)
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (!to->write(bytes))
            break;
    }
    to->shutdown(false);
}

} // namespace review
