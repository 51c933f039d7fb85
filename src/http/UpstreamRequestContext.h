#pragma once

#include "http/EventStreamParser.h"
#include "http/UpstreamRequestKind.h"
#include "redwingseam/base/Ids.h"

#include <cstdint>
#include <optional>

namespace redwingseam::http {

// State of one HTTP request to an upstream.
struct UpstreamRequestContext {
    UpstreamRequestKind kind = UpstreamRequestKind::Generation;
    base::RequestId request;
    base::AttemptNumber attempt;
    base::UpstreamName upstream;
    EventStreamParser eventParser;
    // Set when the engine has reported that the generation is complete.
    std::optional<uint32_t> totalTokens;
};

} // namespace redwingseam::http
