#pragma once

#include "node/Attempt.h"
#include "node/RequestPhase.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/settings/RequestSettings.h"
#include "stream/TokenIntervalEstimator.h"
#include "stream/TokenSequencer.h"

#include <optional>

namespace redwingseam::node {

// State that a node keeps for one request. `Rules` decide which tokens are accepted.
template<stream::SequencerRules Rules>
struct RequestState {
    CallerRequest request;
    settings::RequestSettings requestSettings;
    base::Fingerprint fingerprint;
    base::PoolName pool;
    RequestPhase phase = RequestPhase::Queued;
    base::Instant arrivedAt;
    base::Instant deadline;

    stream::TokenSequencer<Rules> sequencer;
    stream::TokenIntervalEstimator tokenIntervals;
    std::optional<Attempt> current;
    std::optional<Attempt> hedge;
    bool isHedgeQueued = false;
    // Number of attempts started so far; it also numbers them.
    uint64_t attemptCount = 0;
    uint32_t lostAttempts = 0;
    base::UpstreamName lastFailedUpstream;
    // Number of tokens that the caller received before it resumed. They are not sent again.
    uint32_t deliveredBeforeResume = 0;
    std::optional<base::Instant> firstTokenAt;
    // Time of the last delivery of tokens to the caller.
    std::optional<base::Instant> lastDeliveryAt;

    // Non-idempotent call: number that identifies this request in the claim record.
    uint64_t holder = 0;
    bool hasClaim = false;
    // Another request holds the claim on the same key, and this one waits for its outcome.
    bool awaitsOutcome = false;

    bool isGeneration() const { return request.kind == RequestKind::Generation; }
    // Returns whether the work may be run again if it may already have been run.
    bool isRepeatable() const { return isGeneration() || requestSettings.isIdempotent || requestSettings.upstreamDeduplicates; }
    Attempt* findAttempt(base::AttemptNumber number)
    {
        if (current && current->number == number)
            return &*current;
        if (hedge && hedge->number == number)
            return &*hedge;
        return nullptr;
    }
    // Returns the expected cost of the remaining work, in token equivalents.
    uint64_t remainingCost() const
    {
        static constexpr uint64_t bytesPerToken = 4;
        // Prefill runs in large batches, so a prompt token costs a fraction of a generated one.
        static constexpr uint64_t prefillDivisor = 8;
        auto prefill = (request.content.size() / bytesPerToken + sequencer.transcript().size()) / prefillDivisor;
        auto decode = isGeneration() ? request.maxTokens - std::min(request.maxTokens, sequencer.transcript().size()) : 1;
        return prefill + decode + 1;
    }
};

} // namespace redwingseam::node
