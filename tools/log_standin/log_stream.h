// In-memory log stream with a retention limit.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace amaranthdale::tools {

/// Keeps records in order and drops the oldest when there are more than `retain`.
class LogStream
{
public:
    /// Returns the record's offset; offsets start at 1.
    std::uint64_t append(std::string body, std::size_t retain);

    bool hasRecord(std::uint64_t from) const { return from < this->next(); }

    /// JSON page of the records from offset `from`: at most `maxRecords`, and about 4 MB.
    boost::json::object page(std::uint64_t from, std::size_t maxRecords) const;

private:
    std::uint64_t next() const { return this->first + this->records.size(); }

    std::uint64_t first = 1;
    std::deque<std::string> records;
};

} // namespace amaranthdale::tools
