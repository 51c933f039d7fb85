#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::standin {

// What a checking caller got.
struct CallResult {
    uint32_t tokens = 0;
    uint32_t wrongTokens = 0;
    bool isComplete = false;
    uint32_t resumes = 0;
    uint32_t reconnects = 0;
    uint64_t firstTokenMs = 0;
    // Longest silence between two pieces of the answer.
    uint64_t longestGapMs = 0;
    std::string error;

    std::string json() const;
};

} // namespace redwingseam::standin
