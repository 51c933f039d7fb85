#pragma once

#include "node/RequestState.h"
#include "node/TokenOutcome.h"
#include "redwingseam/node/TokensReceived.h"

#include <algorithm>

namespace redwingseam::node {

// Records the time between tokens of the attempt that delivered them.
template<typename State>
void recordTokenInterval(State& state, Attempt& attempt, size_t tokens, base::Instant now, TokenOutcome& outcome)
{
    // The time to the first token of an attempt includes the prefill, so it is not a token interval.
    if (attempt.hasToken) {
        outcome.attemptTokenInterval = (now - attempt.lastTokenAt) / static_cast<int64_t>(tokens);
        state.tokenIntervals.add(*outcome.attemptTokenInterval);
    }
    attempt.hasToken = true;
    attempt.lastTokenAt = now;
    outcome.upstream = attempt.upstream;
}

// Makes the attempt that delivered first the current one. The other one, if any, is to be cancelled.
template<typename State>
void resolveHedge(State& state, base::AttemptNumber winner, bool hasCancelledAttempt, TokenOutcome& outcome)
{
    // The upstream delivers again, so a queued hedge is no longer needed.
    state.isHedgeQueued = false;
    if (!hasCancelledAttempt)
        return;
    bool hasHedgeWon = state.hedge && state.hedge->number == winner;
    if (hasHedgeWon)
        std::swap(state.current, state.hedge);
    outcome.cancelledAttempt = std::exchange(state.hedge, std::nullopt);
}

// Returns whether a regenerated answer differs from the tokens that the caller received before. The check is
// made once, when the answer reaches the caller's resume point.
template<typename State>
bool hasAnswerDiverged(const State& state, uint32_t firstIndex)
{
    const auto& resume = state.request.resume;
    const auto& transcript = state.sequencer.transcript();
    bool isRegenerated = resume && state.request.resumeTokenIds.empty();
    bool hasReached = isRegenerated && firstIndex < resume->delivered && transcript.size() >= resume->delivered;
    if (!hasReached)
        return false;
    stream::Transcript prefix;
    for (uint32_t i = 0; i < resume->delivered; ++i)
        prefix.append(transcript.ids()[i]);
    return prefix.hash() != resume->transcriptHash;
}

// Collects the tokens that the caller has not received yet, and the times to record for them.
template<typename State>
void prepareSend(State& state, const stream::AcceptResult& result, base::Instant now, TokenOutcome& outcome)
{
    size_t sent = state.deliveredBeforeResume > result.firstIndex ? state.deliveredBeforeResume - result.firstIndex : 0;
    auto skipped = std::min(result.accepted.size(), sent);
    std::vector<stream::Token> unsent(result.accepted.begin() + static_cast<ptrdiff_t>(skipped), result.accepted.end());
    if (unsent.empty())
        return;
    if (state.lastDeliveryAt)
        outcome.timeSinceLastDelivery = now - *state.lastDeliveryAt;
    else
        outcome.timeToFirstToken = now - state.arrivedAt;
    state.lastDeliveryAt = now;
    const auto& transcript = state.sequencer.transcript();
    stream::ResumePoint point { transcript.size(), transcript.hash(), state.request.seed, state.pool };
    outcome.toSend = SendTokens { state.request.id, result.firstIndex + static_cast<uint32_t>(skipped), std::move(unsent), std::move(point) };
}

// Adds tokens of one attempt to the answer and returns the actions that follow.
template<typename State>
TokenOutcome acceptTokens(State& state, const TokensReceived& event, base::Instant now)
{
    TokenOutcome outcome;
    auto result = state.sequencer.accept(event.attempt, event.firstIndex, event.tokens);
    outcome.pool = state.pool;
    outcome.requestSettings = state.requestSettings;
    outcome.hasLostAttempt = state.lostAttempts > 0;
    outcome.hasMissingTokens = result.hasMissingTokens;
    if (result.accepted.empty())
        return outcome;
    outcome.fingerprint = state.fingerprint;
    outcome.isCleared = state.lostAttempts > 0;
    if (auto* attempt = state.findAttempt(event.attempt))
        recordTokenInterval(state, *attempt, result.accepted.size(), now, outcome);
    resolveHedge(state, event.attempt, result.closedAttempt.has_value(), outcome);
    outcome.hasDiverged = hasAnswerDiverged(state, result.firstIndex);
    if (!outcome.hasDiverged)
        prepareSend(state, result, now, outcome);
    return outcome;
}

} // namespace redwingseam::node
