#pragma once

#include "gateway/AnswerFacts.h"
#include "gateway/RequestFacts.h"
#include "gateway/UpstreamInstructions.h"

#include <boost/beast/http/fields.hpp>
#include <concepts>

namespace redwingseam::gateway {

// Names and formats of the headers that clients and upstreams speak. Decides nothing.
template<typename T>
concept Dialect = requires(const boost::beast::http::fields& headers, boost::beast::http::fields& outgoing, const UpstreamInstructions& instructions, unsigned status)
{
    {
        T::readRequest(headers)
        } -> std::same_as<RequestFacts>;
    {
        T::readAnswer(status, headers)
        } -> std::same_as<AnswerFacts>;
    // Turns the headers of a client's request into those of the request to an upstream.
    T::writeUpstreamHeaders(outgoing, instructions);
};

} // namespace redwingseam::gateway
