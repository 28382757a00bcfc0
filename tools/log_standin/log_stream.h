// One stream of the log with its retention.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace amaranthdale::tools {

/// Records in order; the oldest ones go when there are more than `retain`.
class LogStream
{
public:
    /// Returns the record's offset; offsets begin at 1.
    std::uint64_t append(std::string body, std::size_t retain);

    bool hasRecord(std::uint64_t from) const { return from < this->next(); }

    /// The page from `from` on, as the protocol gives it, of at most `most` records and about 4 MB.
    boost::json::object page(std::uint64_t from, std::size_t most) const;

private:
    std::uint64_t next() const { return this->first + this->records.size(); }

    std::uint64_t first = 1;
    std::deque<std::string> records;
};

} // namespace amaranthdale::tools
