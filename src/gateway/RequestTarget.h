#pragma once

#include <boost/beast/http/message.hpp>

namespace redwingseam::gateway {

// Converts an absolute target to what an origin server is sent: its path and query, unchanged, and its authority as `Host`.
// Leaves other targets as they are, and absolute ones without an authority.
void convertAbsoluteTarget(boost::beast::http::request_header<>&);

} // namespace redwingseam::gateway
