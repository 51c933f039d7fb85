#pragma once

#include "gateway/RequestMetadata.h"
#include "gateway/ResponseMetadata.h"
#include "gateway/UpstreamRequestMetadata.h"

#include <boost/beast/http/fields.hpp>
#include <concepts>

namespace redwingseam::gateway {

// Reads and writes the headers used by clients and upstreams. Knows their names and formats only and makes
// no decisions.
template<typename T>
concept HeaderCodec = requires(const boost::beast::http::fields& headers, boost::beast::http::fields& outgoing, const UpstreamRequestMetadata& metadata, unsigned status)
{
    {
        T::readRequest(headers)
        } -> std::same_as<RequestMetadata>;
    {
        T::readResponse(status, headers)
        } -> std::same_as<ResponseMetadata>;
    // Converts the headers of a client's request to those of the upstream request.
    T::writeUpstreamHeaders(outgoing, metadata);
};

} // namespace redwingseam::gateway
