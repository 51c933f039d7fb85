#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <string>

namespace redwingseam::standin {

// How a stand-in engine behaves.
struct EngineOptions {
    uint32_t slots = 8;
    base::Duration tokenInterval = std::chrono::milliseconds(20);
    base::Duration prefillPerToken = std::chrono::microseconds(50);
    // Prompt prefixes that the cache holds.
    size_t cacheCapacity = 256;
    // Cache events are published this long after the fact, and every n-th one is lost.
    base::Duration cacheEventDelay = std::chrono::milliseconds(500);
    uint32_t droppedCacheEventInterval = 10;
    // The process ends when any stream reaches this token; 0 for never.
    uint32_t crashAtToken = 0;
    // The process ends when it starts on a prompt that holds this text; empty for never.
    std::string crashOnPrompt;
};

} // namespace redwingseam::standin
