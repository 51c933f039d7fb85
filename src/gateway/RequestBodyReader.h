#pragma once

#include "http/RequestBody.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace redwingseam::gateway {

// Appends what the parser finds to a RequestBody. The members are those that Boost.Beast requires of a body's reader.
class RequestBodyReader {
public:
    template<bool isRequest, typename Fields>
    RequestBodyReader(boost::beast::http::header<isRequest, Fields>&, http::RequestBody& body)
        : m_body(body)
    {
    }

    void init(const boost::optional<uint64_t>& length, boost::beast::error_code& error)
    {
        error = {};
        if (length)
            m_body.expect(*length);
    }

    template<typename Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error)
    {
        error = {};
        size_t count = 0;
        for (boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
            m_body.append({ static_cast<const char*>(buffer.data()), buffer.size() });
            count += buffer.size();
        }
        return count;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

private:
    http::RequestBody& m_body;
};

} // namespace redwingseam::gateway
