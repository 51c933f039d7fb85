#pragma once

#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace redwingseam::gateway {

// What the node tells an upstream beside the client's own request.
struct UpstreamRequestMetadata {
    base::Duration deadline {};
    base::UpstreamName target;
    // The account that the client's key stands for.
    std::optional<base::ClientName> client;
    // 0 is the most urgent, 9 the least; nothing leaves it to the upstream.
    std::optional<unsigned> urgency;
    std::optional<uint64_t> lastEventId;
    // Address of the upstream that keeps a copy of the run's memory.
    std::optional<std::string> backupAddress;
    // The run goes on from the copy at this address.
    std::optional<std::string> copyAddress;
    base::ClientAttemptId attempt;
};

} // namespace redwingseam::gateway
