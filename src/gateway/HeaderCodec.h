#pragma once

#include "gateway/RequestMetadata.h"
#include "gateway/ResponseMetadata.h"
#include "gateway/UpstreamRequestMetadata.h"

#include <boost/beast/http/fields.hpp>
#include <concepts>

namespace redwingseam::gateway {

// Names and formats of the headers that clients and upstreams speak. Decides nothing.
template<typename T>
concept HeaderCodec = requires(const boost::beast::http::fields& headers, boost::beast::http::fields& outgoing, const UpstreamRequestMetadata& metadata, unsigned status)
{
    {
        T::readRequest(headers)
        } -> std::same_as<RequestMetadata>;
    {
        T::readResponse(status, headers)
        } -> std::same_as<ResponseMetadata>;
    // Turns the headers of a client's request into those of the request to an upstream.
    T::writeUpstreamHeaders(outgoing, metadata);
};

} // namespace redwingseam::gateway
