#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::gateway {

// Values that the gateway adds to the headers of a client's request for the upstream.
struct UpstreamRequestMetadata {
    // Time until the deadline of the request.
    base::Duration timeout {};
    base::UpstreamName target;
    // Client account that the key belongs to.
    std::optional<base::ClientName> client;
    // 0 is the most urgent, 9 the least; empty leaves the choice to the upstream.
    std::optional<unsigned> urgency;
    std::optional<uint64_t> lastEventId;
    // Address of the upstream that keeps the backup of the generation's KV cache.
    std::optional<std::string> backupAddress;
    // Address of the upstream whose backup of the KV cache the generation resumes from.
    std::optional<std::string> resumeBackupAddress;
    base::ClientAttemptId attempt;
};

} // namespace redwingseam::gateway
