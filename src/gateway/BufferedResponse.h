#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace redwingseam::gateway {

// An upstream's response that is buffered until it is complete.
struct BufferedResponse {
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
};

} // namespace redwingseam::gateway
