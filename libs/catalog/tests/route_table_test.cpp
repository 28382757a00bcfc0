// Tests for route lookup.
#include "amaranthdale/catalog/catalogue.h"

#include <doctest/doctest.h>

using namespace amaranthdale;
using namespace amaranthdale::catalog;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route entry;
    entry.name = name;
    entry.host = host;
    entry.pathPrefix = prefix;
    return entry;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix of the host is selected")
{
    Catalogue catalogue;
    catalogue.routes = {route("short", "shop.example", "/a/"),
                        route("long", "shop.example", "/a/b/"),
                        route("other", "other.example", "/a/b/c/")};
    const RouteTable table(catalogue);
    REQUIRE(table.find("shop.example", "/a/b/c/d") != nullptr);
    CHECK(table.find("shop.example", "/a/b/c/d")->name == "long");
    CHECK(table.find("SHOP.example:80", "/a/x")->name == "short");
    CHECK(table.find("shop.example", "/a") == nullptr);
    CHECK(table.find("unknown.example", "/a/b/") == nullptr);
}
