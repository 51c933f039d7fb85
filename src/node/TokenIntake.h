#pragma once

#include "node/RequestState.h"
#include "node/TokenOutcome.h"
#include "redwingseam/node/TokensReceived.h"

#include <algorithm>

namespace redwingseam::node {

// Books the time between tokens of the attempt that delivered.
template<typename State>
void bookGap(State& state, Flight& flight, size_t tokens, base::Instant now, TokenOutcome& outcome)
{
    // The first token of an attempt waits for the prefill, so it says nothing of the gaps.
    if (flight.hasToken) {
        outcome.gap = (now - flight.lastTokenAt) / static_cast<int64_t>(tokens);
        state.gaps.add(*outcome.gap);
    }
    flight.hasToken = true;
    flight.lastTokenAt = now;
    outcome.upstream = flight.upstream;
}

// Makes the attempt that won the race the current one.
template<typename State>
void settleFlights(State& state, base::AttemptNumber winner, bool hasLoser, TokenOutcome& outcome)
{
    // The upstream has come back, so a rival that waits in the queue is not wanted any more.
    state.isRivalQueued = false;
    if (!hasLoser)
        return;
    bool hasRivalWon = state.rival && state.rival->attempt == winner;
    if (hasRivalWon)
        std::swap(state.current, state.rival);
    outcome.loser = std::exchange(state.rival, std::nullopt);
}

// Whether an answer that is generated again differs from what the caller was given before. Judged
// once, when it has reached the point where the caller left off.
template<typename State>
bool isForeignAnswer(const State& state, uint32_t firstIndex)
{
    const auto& resume = state.request.resume;
    const auto& transcript = state.sequencer.transcript();
    bool isRegenerated = resume && state.request.carriedIds.empty();
    bool hasReached = isRegenerated && firstIndex < resume->delivered && transcript.size() >= resume->delivered;
    if (!hasReached)
        return false;
    stream::Transcript prefix;
    for (uint32_t i = 0; i < resume->delivered; ++i)
        prefix.append(transcript.ids()[i]);
    return prefix.hash() != resume->prefixHash;
}

// Tokens that the caller has not been sent yet, and the times to be recorded for them.
template<typename State>
void prepareSend(State& state, const stream::AcceptResult& result, base::Instant now, TokenOutcome& outcome)
{
    size_t sent = state.sentBefore > result.firstIndex ? state.sentBefore - result.firstIndex : 0;
    auto skipped = std::min(result.fresh.size(), sent);
    std::vector<stream::Token> unsent(result.fresh.begin() + static_cast<ptrdiff_t>(skipped), result.fresh.end());
    if (unsent.empty())
        return;
    if (state.lastTokenAt)
        outcome.silence = now - *state.lastTokenAt;
    else
        outcome.firstTokenAfter = now - state.arrivedAt;
    state.lastTokenAt = now;
    const auto& transcript = state.sequencer.transcript();
    stream::ResumePoint point { transcript.size(), transcript.hash(), state.request.seed, state.pool };
    outcome.toSend = SendTokens { state.request.id, result.firstIndex + static_cast<uint32_t>(skipped), std::move(unsent), std::move(point) };
}

// Takes tokens of one attempt into the answer and says what follows.
template<typename State>
TokenOutcome takeTokens(State& state, const TokensReceived& event, base::Instant now)
{
    TokenOutcome outcome;
    auto result = state.sequencer.accept(event.attempt, event.firstIndex, event.tokens);
    outcome.pool = state.pool;
    outcome.policy = state.policy;
    outcome.hasLoss = state.losses > 0;
    outcome.hasHole = result.hasGap;
    if (result.fresh.empty())
        return outcome;
    outcome.fingerprint = state.fingerprint;
    outcome.isCleared = state.losses > 0;
    if (auto* flight = state.flight(event.attempt))
        bookGap(state, *flight, result.fresh.size(), now, outcome);
    settleFlights(state, event.attempt, result.loser.has_value(), outcome);
    outcome.isForeign = isForeignAnswer(state, result.firstIndex);
    if (!outcome.isForeign)
        prepareSend(state, result, now, outcome);
    return outcome;
}

} // namespace redwingseam::node
