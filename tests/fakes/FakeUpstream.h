#pragma once

#include "redwingseam/node/CallService.h"
#include "redwingseam/node/StartGeneration.h"
#include "redwingseam/route/UpstreamRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace redwingseam::fakes {

// One attempt that runs at a fake engine or service.
struct FakeAttempt {
    size_t node = 0;
    uint64_t nodeStart = 0;
    node::StartGeneration generation;
    uint32_t nextIndex = 0;
};

// Names a flight: node, its start, request and attempt.
struct AttemptKey {
    size_t node = 0;
    uint64_t nodeStart = 0;
    base::RequestId request;
    base::AttemptNumber attempt;

    auto operator<=>(const AttemptKey&) const = default;
};

// An engine or a plain service.
struct FakeUpstream {
    route::UpstreamRecord record;
    bool isAlive = true;
    bool isFrozen = false;
    base::Duration tokenGap = std::chrono::milliseconds(20);
    std::map<AttemptKey, FakeAttempt> attempts;
    // Flights that have no slot yet, in the order in which they will get one.
    std::vector<AttemptKey> queuedAttempts;
    // Share of tokens that take ten times as long.
    uint32_t stallPermille = 0;
    // Services: how often each key ran.
    std::map<std::string, uint32_t> executions;
    uint64_t crashes = 0;
};

} // namespace redwingseam::fakes
