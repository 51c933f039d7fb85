#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/node/CallService.h"
#include "redwingseam/node/StartGeneration.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwingseam::fakes {

// An attempt at a fake engine or service, running or queued.
struct FakeAttempt {
    size_t node = 0;
    uint64_t nodeStartCount = 0;
    node::StartGeneration generation;
    uint32_t nextIndex = 0;
};

// Identifies an attempt by node, the count of the node's starts, request and attempt number.
struct AttemptKey {
    size_t node = 0;
    uint64_t nodeStartCount = 0;
    base::RequestId request;
    base::AttemptNumber attempt;

    auto operator<=>(const AttemptKey&) const = default;
};

// A fake engine or plain service.
struct FakeUpstream {
    route::UpstreamRecord record;
    bool isAlive = true;
    bool isFrozen = false;
    base::Duration tokenGap = std::chrono::milliseconds(20);
    std::map<AttemptKey, FakeAttempt> attempts;
    // Attempts without a slot, in the order in which they get one.
    std::vector<AttemptKey> queuedAttempts;
    // Share of tokens that take ten times as long as `tokenGap`.
    uint32_t stallPermille = 0;
    // For services: number of executions for each idempotency key.
    std::map<std::string, uint32_t> executions;
    uint64_t crashes = 0;
};

} // namespace redwingseam::fakes
