#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <string>

namespace redwingseam::standin {

// Performance figures and injected faults of a stand-in engine.
struct EngineOptions {
    // Generations that run concurrently.
    uint32_t slots = 8;
    base::Duration tokenInterval = std::chrono::milliseconds(20);
    base::Duration prefillPerToken = std::chrono::microseconds(50);
    // Prompt prefixes that the prefix cache holds.
    size_t cacheCapacity = 256;
    // Cache events are published with this delay, and every n-th one is dropped; 0 drops none.
    base::Duration cacheEventDelay = std::chrono::milliseconds(500);
    uint32_t droppedCacheEventInterval = 10;
    // The process exits when a stream reaches this token; 0 disables this.
    uint32_t crashAtToken = 0;
    // The process exits when it starts a prompt that contains this text; empty disables this.
    std::string crashOnPrompt;
};

} // namespace redwingseam::standin
