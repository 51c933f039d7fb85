#pragma once

#include "http/EventStreamParser.h"
#include "http/UpstreamCallKind.h"
#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <optional>

namespace redwingseam::http {

// What belongs to one request to an upstream.
struct UpstreamCall {
    UpstreamCallKind kind = UpstreamCallKind::Generation;
    base::RequestId request;
    base::AttemptNumber attempt;
    base::UpstreamName upstream;
    EventStreamParser eventParser;
    // Set when the engine has said that the answer is complete.
    std::optional<uint32_t> totalTokens;
};

} // namespace redwingseam::http
