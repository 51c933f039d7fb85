#pragma once

#include <cstdint>
#include <string>

namespace redwingseam::standin {

// Outcome of a CheckingCaller.
struct CallResult {
    uint32_t tokens = 0;
    uint32_t wrongTokens = 0;
    // The stream ended normally with as many tokens as were requested.
    bool isComplete = false;
    // Resumes that the server reported at the end of the stream.
    uint32_t resumes = 0;
    // Reconnects after a broken connection, an incomplete stream or a status 503.
    uint32_t reconnects = 0;
    uint64_t firstTokenMs = 0;
    // Longest time between two chunks of the response.
    uint64_t longestGapMs = 0;
    std::string error;

    std::string json() const;
};

} // namespace redwingseam::standin
