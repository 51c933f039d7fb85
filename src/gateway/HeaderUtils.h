#pragma once

#include <boost/beast/http/fields.hpp>
#include <string>

namespace redwingseam::gateway {

// Removes the headers that concern one connection only: the standard ones and those that `Connection` names.
void removeHopByHopHeaders(boost::beast::http::fields&);

// Text of header lines, without the empty line at the end.
std::string serializeHeaders(const boost::beast::http::fields&);

// Host without port.
std::string hostOf(const boost::beast::http::fields&);

// Path of a request target, without its query.
std::string pathOf(std::string_view target);

} // namespace redwingseam::gateway
