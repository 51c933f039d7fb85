#pragma once

#include "redwingseam/base/Instant.h"

#include <boost/beast/http/fields.hpp>
#include <optional>
#include <string>

namespace redwingseam::gateway {

// Removes the hop-by-hop headers: the standard ones and those that `Connection` names. Also removes
// `Content-Length` and `Expect`.
void removeHopByHopHeaders(boost::beast::http::fields&);

// Returns whether a field is so long that it could not be passed on, with what the gateway adds, in the container of the
// fields, which throws for a name or value of more than 65,533 bytes.
bool hasOversizedField(const boost::beast::http::fields&);

// Returns the header lines as sent, without the terminating empty line.
std::string serializeHeaders(const boost::beast::http::fields&);

// Returns the headers that tell a client whether the connection persists after the response. `idleTimeout`: how long it
// may be idle before the next request; empty if it closes.
std::string persistenceHeaders(std::optional<base::Duration> idleTimeout);

// Returns the value of `Host` without the port, in lower case.
std::string hostOf(const boost::beast::http::fields&);

// Returns the path of a request target without the query.
std::string pathOf(std::string_view target);

} // namespace redwingseam::gateway
