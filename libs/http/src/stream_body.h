// Body type for Beast's parsers whose content can be taken piece by piece.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace amaranthdale::http {

/// Appends what arrives to a string, which the owner of the parser may take at any time. Memory is
/// not reserved by the announced length, which is the other side's claim only.
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
                const boost::asio::const_buffer piece(*next);
                this->text.append(static_cast<const char *>(piece.data()), piece.size());
                total += piece.size();
            }
            return total;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &text;
    };
};

} // namespace amaranthdale::http
