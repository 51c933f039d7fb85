#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace redwingseam::gateway {

// An upstream's answer that is held until it is known to be whole.
struct BufferedResponse {
    unsigned status = 0;
    boost::beast::http::fields headers;
    std::string body;
};

} // namespace redwingseam::gateway
