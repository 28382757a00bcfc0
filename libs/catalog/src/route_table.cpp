// Route lookup by host and longest path prefix.
#include "amaranthdale/catalog/catalogue.h"

#include <algorithm>
#include <cctype>

namespace amaranthdale::catalog {

namespace {

// Lowercases the host and strips the port.
std::string normalizeHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

RouteTable::RouteTable(Catalogue configuration) : catalogue(std::move(configuration))
{
    for (std::size_t index = 0; index < this->catalogue.services.size(); ++index)
        this->serviceIndexByName.emplace(this->catalogue.services[index].name.value, index);
    for (std::size_t index = 0; index < this->catalogue.routes.size(); ++index)
        this->routesByHost[normalizeHost(this->catalogue.routes[index].host)].push_back(index);
    for (auto &[host, indexes] : this->routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return this->catalogue.routes[a].pathPrefix.size()
                    > this->catalogue.routes[b].pathPrefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(normalizeHost(host));
    if (found == this->routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const Route &route = this->catalogue.routes[index];
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const Service *RouteTable::service(const core::ServiceName &name) const
{
    const auto found = this->serviceIndexByName.find(name.value);
    return found == this->serviceIndexByName.end() ? nullptr
                                                   : &this->catalogue.services[found->second];
}

} // namespace amaranthdale::catalog
