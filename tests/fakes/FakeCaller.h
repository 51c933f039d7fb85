#pragma once

#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/node/Finish.h"
#include "redwingseam/node/Refuse.h"
#include "redwingseam/stream/ResumePoint.h"

#include <optional>
#include <vector>

namespace redwingseam::fakes {

// One caller with its request and what it has received so far.
struct FakeCaller {
    node::CallerRequest request;
    size_t node = 0;
    uint64_t nodeStartCount = 0;
    bool carriesTokens = true;
    std::vector<uint32_t> received;
    std::optional<stream::ResumePoint> resumePoint;
    uint32_t wrongTokens = 0;
    uint32_t reconnects = 0;
    std::optional<node::Finish> finish;
    std::optional<node::Refuse> refusal;
    base::Instant startedAt;
    base::Instant lastTokensAt;
    base::Instant endedAt;
    std::optional<base::Duration> firstTokenAfter;
    base::Duration longestTokenGap {};

    bool isOver() const { return finish || refusal; }
};

} // namespace redwingseam::fakes
