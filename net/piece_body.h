/// A body type for Beast's parsers that collects what has come, without trusting the announced
/// length.
#pragma once

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

namespace stackquay {

struct PieceBody {
    using value_type = std::string;

    // NOLINTNEXTLINE(readability-identifier-naming): the name that Beast asks for.
    class reader
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        { }

        void init(const boost::optional<uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template<typename Buffers>
        size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            size_t size = 0;
            for (const boost::asio::const_buffer buffer :
                 boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
    };
};

} // namespace stackquay
