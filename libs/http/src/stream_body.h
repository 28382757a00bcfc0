// Beast body type for incremental reading.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace amaranthdale::http {

/// Appends received data to a string that the owner of the parser may take at any time. Does not
/// reserve memory for the declared Content-Length, since that is untrusted.
struct StreamBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming): Beast's name

    class reader // NOLINT(readability-identifier-naming): Beast's name
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &target) : text(target)
        { }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t total = 0;
            for (auto next = boost::asio::buffer_sequence_begin(buffers);
                 next != boost::asio::buffer_sequence_end(buffers); ++next) {
                const boost::asio::const_buffer buffer(*next);
                this->text.append(static_cast<const char *>(buffer.data()), buffer.size());
                total += buffer.size();
            }
            return total;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &text;
    };
};

} // namespace amaranthdale::http
