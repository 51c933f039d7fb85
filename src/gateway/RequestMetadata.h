#pragma once

#include "base/TokenCount.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/base/Instant.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace redwingseam::gateway {

// Further parts of a prompt are ignored.
inline constexpr size_t maxPromptParts = 16;

// Values read from the headers of a client's request.
struct RequestMetadata {
    base::ClientAttemptId attempt;
    // Time for which the client waits; empty if it did not state one.
    std::optional<base::Duration> timeout;
    base::ApiKey key;
    // Last event of the stream that the client has received; empty if it does not resume a stream.
    std::optional<uint64_t> lastEventId;
    // The attempt of the client that brought the first event of the stream which this one resumes; empty if not stated.
    base::ClientAttemptId resumedAttempt;
    // Identifies the part of the prompt that is the request's own; the same for a repeated request.
    std::optional<uint64_t> promptKey;
    // The parts of the prompt that other requests may share, in order. Bounded by `maxPromptParts`.
    std::vector<base::PromptPartHash> promptParts;
    // As the client states them; 0 if it does not.
    base::TokenCount promptTokens;
    base::TokenCount maxOutputTokens;
};

} // namespace redwingseam::gateway
