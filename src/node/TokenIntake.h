#pragma once

#include "node/RequestState.h"
#include "node/TokenOutcome.h"
#include "redwingseam/node/TokensReceived.h"

#include <algorithm>

namespace redwingseam::node {

// Records the time between tokens of the attempt that delivered them.
template<typename State>
void recordGap(State& state, Attempt& attempt, size_t tokens, base::Instant now, TokenOutcome& outcome)
{
    // The first token of an attempt includes the prefill time, so it is no sample of the gaps.
    if (attempt.hasToken) {
        outcome.gap = (now - attempt.lastTokenAt) / static_cast<int64_t>(tokens);
        state.gaps.add(*outcome.gap);
    }
    attempt.hasToken = true;
    attempt.lastTokenAt = now;
    outcome.upstream = attempt.upstream;
}

// Makes the attempt that delivered first the current one and drops the other.
template<typename State>
void resolveHedge(State& state, base::AttemptNumber winner, bool hasLoser, TokenOutcome& outcome)
{
    // The upstream delivers again, so a queued hedge is no longer needed.
    state.isHedgeQueued = false;
    if (!hasLoser)
        return;
    bool hasHedgeWon = state.hedge && state.hedge->number == winner;
    if (hasHedgeWon)
        std::swap(state.current, state.hedge);
    outcome.loser = std::exchange(state.hedge, std::nullopt);
}

// Returns whether a regenerated answer differs from the tokens that the caller received before. Checked
// once, when the answer reaches the caller's resume point.
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
    return prefix.hash() != resume->prefixHash;
}

// Collects the tokens that the caller has not received yet, and the times to record for them.
template<typename State>
void prepareSend(State& state, const stream::AcceptResult& result, base::Instant now, TokenOutcome& outcome)
{
    size_t sent = state.alreadyDelivered > result.firstIndex ? state.alreadyDelivered - result.firstIndex : 0;
    auto skipped = std::min(result.fresh.size(), sent);
    std::vector<stream::Token> unsent(result.fresh.begin() + static_cast<ptrdiff_t>(skipped), result.fresh.end());
    if (unsent.empty())
        return;
    if (state.lastTokenAt)
        outcome.callerGap = now - *state.lastTokenAt;
    else
        outcome.timeToFirstToken = now - state.arrivedAt;
    state.lastTokenAt = now;
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
    outcome.hasLoss = state.lostAttempts > 0;
    outcome.hasMissingTokens = result.hasGap;
    if (result.fresh.empty())
        return outcome;
    outcome.fingerprint = state.fingerprint;
    outcome.isCleared = state.lostAttempts > 0;
    if (auto* attempt = state.findAttempt(event.attempt))
        recordGap(state, *attempt, result.fresh.size(), now, outcome);
    resolveHedge(state, event.attempt, result.loser.has_value(), outcome);
    outcome.hasDiverged = hasAnswerDiverged(state, result.firstIndex);
    if (!outcome.hasDiverged)
        prepareSend(state, result, now, outcome);
    return outcome;
}

} // namespace redwingseam::node
