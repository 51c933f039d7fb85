#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <optional>
#include <string>

namespace redwingseam::node {

// Sends a service call to `upstream` once. `key` is the caller's idempotency key, if it sent one.
struct CallService {
    base::RequestId request;
    base::AttemptNumber attempt;
    route::UpstreamRecord upstream;
    std::string body;
    std::optional<base::IdempotencyKey> key;
};

} // namespace redwingseam::node
