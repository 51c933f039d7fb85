#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <optional>
#include <string>

namespace redwingseam::node {

// Calls a plain service once.
struct CallService {
    base::RequestId request;
    base::AttemptNumber attempt;
    route::UpstreamRecord upstream;
    std::string body;
    std::optional<base::IdempotencyKey> key;
};

} // namespace redwingseam::node
