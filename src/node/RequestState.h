#pragma once

#include "node/Flight.h"
#include "node/RequestPhase.h"
#include "redwingseam/base/Instant.h"
#include "redwingseam/node/CallerRequest.h"
#include "redwingseam/settings/Policy.h"
#include "stream/GapEstimator.h"
#include "stream/TokenSequencer.h"

#include <optional>

namespace redwingseam::node {

// All that a node keeps of one request. `Rules` decide which tokens are taken.
template<stream::SequencerRules Rules>
struct RequestState {
    CallerRequest request;
    settings::Policy policy;
    base::Fingerprint fingerprint;
    base::PoolName pool;
    RequestPhase phase = RequestPhase::Queued;
    base::Instant arrivedAt;
    base::Instant deadline;

    stream::TokenSequencer<Rules> sequencer;
    stream::GapEstimator gaps;
    std::optional<Flight> current;
    std::optional<Flight> rival;
    bool isRivalQueued = false;
    uint64_t attempts = 0;
    uint32_t losses = 0;
    base::UpstreamName lastLostAt;
    // Tokens below this index were delivered before the caller came back.
    uint32_t sentBefore = 0;
    std::optional<base::Instant> firstTokenAt;
    std::optional<base::Instant> lastTokenAt;

    // Non-idempotent calls: number that the claim is recorded under.
    uint64_t holder = 0;
    bool hasClaim = false;
    // Another request with the same key was sent; this one waits for its outcome.
    bool awaitsOutcome = false;

    bool isGeneration() const { return request.kind == RequestKind::Generation; }
    // Whether the work may be run again after it may have run.
    bool isRepeatable() const { return isGeneration() || policy.isIdempotent || policy.upstreamDeduplicates; }
    Flight* flight(base::AttemptNumber attempt)
    {
        if (current && current->attempt == attempt)
            return &*current;
        if (rival && rival->attempt == attempt)
            return &*rival;
        return nullptr;
    }
    // Expected cost of what is still to be done, in token equivalents.
    uint64_t remainingCost() const
    {
        static constexpr uint64_t bytesPerToken = 4;
        // Prefill runs in large batches; one prompt token costs a fraction of a generated one.
        static constexpr uint64_t prefillDivisor = 8;
        auto prefill = (request.content.size() / bytesPerToken + sequencer.transcript().size()) / prefillDivisor;
        auto decode = isGeneration() ? request.maxTokens - std::min(request.maxTokens, sequencer.transcript().size()) : 1;
        return prefill + decode + 1;
    }
};

} // namespace redwingseam::node
