#pragma once

#include "fleet/RetryLimits.h"
#include "manifest/ManifestIndex.h"
#include "redwingseam/base/Ids.h"

#include <memory>
#include <optional>

namespace redwingseam::forward {

// A client's request after it was matched with a route.
struct ExchangeRequest {
    // Keeps `route` alive.
    std::shared_ptr<const manifest::ManifestIndex> index;
    const manifest::Route* route = nullptr;
    base::ServiceName service;
    // Equal for each repetition of the same work by the same account.
    base::Fingerprint fingerprint;
    base::Instant arrivedAt {};
    // How long the client waits, from `arrivedAt` on.
    base::Duration clientTimeout {};
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;
    // The client takes a stream up again after this event.
    std::optional<uint64_t> lastEventId;
    fleet::RetryLimits retries;
    // 0 is the most urgent.
    uint32_t priority = 0;
};

} // namespace redwingseam::forward
