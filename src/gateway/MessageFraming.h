#pragma once

#include <boost/beast/http/fields.hpp>

namespace redwingseam::gateway {

// Returns whether every HTTP parser finds the same end of a message with these headers: at most one field states it, as a
// plain number or as the transfer coding `chunked` alone, which HTTP/1.0 does not have. `version` is 10 or 11.
bool isFramingClear(const boost::beast::http::fields&, unsigned version);

} // namespace redwingseam::gateway
