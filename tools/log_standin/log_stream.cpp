// In-memory log stream with a retention limit.
#include "log_standin/log_stream.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace amaranthdale::tools {

namespace {

constexpr std::size_t maxPageBytes = 4 * 1024 * 1024;

} // namespace

std::uint64_t LogStream::append(std::string body, std::size_t retain)
{
    const std::uint64_t offset = this->next();
    this->records.push_back(std::move(body));
    while (this->records.size() > retain) {
        this->records.pop_front();
        ++this->first;
    }
    return offset;
}

boost::json::object LogStream::page(std::uint64_t from, std::size_t maxRecords) const
{
    boost::json::array list;
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, this->first);
         offset < this->next() && list.size() < maxRecords && bytes < maxPageBytes; ++offset) {
        const std::string &body = this->records[offset - this->first];
        bytes += body.size();
        list.push_back(boost::json::object{{"offset", offset}, {"body", body}});
    }
    return {{"first", this->first}, {"next", this->next()}, {"records", std::move(list)}};
}

} // namespace amaranthdale::tools
