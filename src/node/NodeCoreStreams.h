#pragma once

#include "node/NodeCore.h"
#include "node/TokenIntake.h"
#include "stream/SuspicionTimeout.h"

// Tokens, and what happens when an attempt or an upstream is lost.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::handle(const TokensReceived& event, Context& context)
{
    TokenOutcome outcome;
    withRequest(event.request, [&](State& state) { outcome = takeTokens(state, event, context.now); });
    if (outcome.gap)
        onTokenGap(outcome, context);
    if (outcome.firstTokenAfter)
        m_recorder.recordFirstToken(outcome.policy, *outcome.firstTokenAfter, outcome.hasLoss, context.now);
    if (outcome.silence)
        m_recorder.recordGap(outcome.policy, *outcome.silence, outcome.hasLoss, context.now);
    if (outcome.isCleared)
        m_blame.clear(outcome.fingerprint);
    if (outcome.toSend)
        context.emit(std::move(*outcome.toSend));
    if (outcome.loser) {
        context.emit(CancelAttempt { event.request, outcome.loser->attempt, outcome.loser->upstream });
        release(outcome.pool, outcome.loser->upstream, event.request);
        pump(outcome.pool, context);
    }
    if (outcome.isForeign)
        refuse(event.request, { base::ResultCode::StreamLost, "the answer cannot be taken up where it broke off" }, RunState::Partial, context);
    else if (outcome.hasHole)
        loseAttempt(event.request, event.attempt, context);
}

template<typename Policies>
void NodeCore<Policies>::onTokenGap(const TokenOutcome& outcome, Context&)
{
    bool wasDown = false;
    withPool(outcome.pool, [&](FairPool& target) { wasDown = target.observeGap(outcome.upstream, *outcome.gap); });
    // It was taken for dead, and is not: no one is to blame.
    if (wasDown)
        m_blame.disprove(deathOf(outcome.upstream));
}

template<typename Policies>
void NodeCore<Policies>::handle(const AttemptEnded& event, Context& context)
{
    if (event.end == AttemptEnd::Complete) {
        complete(event, context);
        return;
    }
    std::optional<Flight> ended;
    base::PoolName pool;
    bool isAbout = false;
    withRequest(event.request, [&](State& state) {
        if (auto* flight = state.flight(event.attempt)) {
            ended = *flight;
            pool = state.pool;
            isAbout = state.isGeneration();
        }
    });
    if (!ended)
        return;
    bool mayHaveDied = event.end == AttemptEnd::Lost && isAbout;
    if (mayHaveDied) {
        onConnectionLost(event.request, *ended, context);
        return;
    }
    if (event.end != AttemptEnd::Lost) {
        // It was never run: no blame, and a claim stays good for another try.
        withPool(pool, [&](FairPool& target) {
            target.release(ended->upstream, event.request);
            target.setDown(ended->upstream);
        });
        withRequest(event.request, [&](State& state) { state.lastLostAt = ended->upstream; });
    }
    bool wasRun = event.end == AttemptEnd::Lost;
    bool mayRepeat = true;
    bool isDetached = false;
    withRequest(event.request, [&](State& state) {
        mayRepeat = !wasRun || Policies::ClaimRules::mayRepeatLostCall(state.isRepeatable());
        isDetached = state.phase == RequestPhase::Detached;
    });
    if (isDetached) {
        if (auto state = take(event.request))
            dropFlights(*state, context);
    } else if (!mayRepeat) {
        refuse(event.request, { base::ResultCode::OutcomeUnknown, "the call was sent and its outcome is not known; repeat the key to look it up" }, RunState::Unknown, context);
    } else {
        loseAttempt(event.request, event.attempt, context);
    }
}

template<typename Policies>
void NodeCore<Policies>::complete(const AttemptEnded& event, Context& context)
{
    bool isComplete = false;
    bool isMissingTokens = false;
    withRequest(event.request, [&](State& state) {
        bool isCurrent = state.current && state.current->attempt == event.attempt;
        bool isRival = state.rival && state.rival->attempt == event.attempt;
        bool isWhole = !state.isGeneration() || state.sequencer.transcript().size() == event.totalTokens;
        isComplete = (isCurrent || isRival) && isWhole;
        isMissingTokens = (isCurrent || isRival) && !isWhole;
    });
    if (isMissingTokens)
        loseAttempt(event.request, event.attempt, context);
    if (!isComplete)
        return;
    auto state = take(event.request);
    if (!state)
        return;
    bool isShortOfDelivered = state->isGeneration() && event.totalTokens < state->sentBefore;
    if (isShortOfDelivered) {
        refuse(*state, { base::ResultCode::StreamLost, "the answer cannot be taken up where it broke off" }, RunState::Partial, context);
        dropFlights(*state, context);
        return;
    }
    if (state->hasClaim && state->request.key)
        submit({ claim::RecordKind::Finished, *state->request.key, state->holder, event.answer }, {}, context);
    if (state->phase != RequestPhase::Detached) {
        m_recorder.recordFinish(state->policy, context.now);
        context.emit(Finish { event.request, event.totalTokens, state->losses, event.answer });
    }
    // The ended attempt needs no cancelling; a rival does.
    for (auto* flight : { &state->current, &state->rival }) {
        if (*flight && (*flight)->attempt == event.attempt) {
            release(state->pool, (*flight)->upstream, event.request);
            flight->reset();
        }
    }
    dropFlights(*state, context);
}

template<typename Policies>
void NodeCore<Policies>::loseAttempt(base::RequestId id, base::AttemptNumber attempt, Context& context)
{
    std::optional<Flight> lost;
    base::PoolName pool;
    bool isOver = false;
    withRequest(id, [&](State& state) {
        auto* flight = state.flight(attempt);
        if (!flight)
            return;
        lost = *flight;
        pool = state.pool;
        state.sequencer.close(attempt);
        if (state.current && state.current->attempt == attempt)
            state.current = std::exchange(state.rival, std::nullopt);
        else
            state.rival.reset();
        state.lastLostAt = lost->upstream;
        ++state.losses;
        isOver = state.losses > state.policy.resumeLimit;
    });
    if (!lost)
        return;
    context.emit(CancelAttempt { id, lost->attempt, lost->upstream });
    release(pool, lost->upstream, id);
    if (isOver)
        refuse(id, { base::ResultCode::RetriesExhausted, "every attempt was lost" }, RunState::Partial, context);
    else
        requeueAfterLoss(id, context);
    pump(pool, context);
}

template<typename Policies>
void NodeCore<Policies>::requeueAfterLoss(base::RequestId id, Context& context)
{
    bool mustQueue = false;
    withRequest(id, [&](State& state) {
        mustQueue = !state.current && !state.isRivalQueued && state.phase == RequestPhase::Running;
        // A rival that was queued already takes the lost attempt's place.
        if (!state.current && state.phase == RequestPhase::Running)
            state.phase = RequestPhase::Queued;
        state.isRivalQueued = false;
    });
    if (mustQueue)
        enqueue(id, context);
}

template<typename Policies>
route::DeathId NodeCore<Policies>::deathOf(const base::UpstreamName& upstream)
{
    auto entry = m_gossipStore.find({ membership::GossipKind::Upstream, upstream.text });
    return { upstream, entry ? entry->incarnation : 0 };
}

template<typename Policies>
void NodeCore<Policies>::onConnectionLost(base::RequestId request, const Flight& flight, Context& context)
{
    // Each stream speaks for itself: one connection that breaks does not take the others with it. If the
    // upstream has died, all of its streams are in the death's record before it is judged.
    bool wasUp = false;
    std::optional<route::Casualty> casualty;
    base::PoolName pool;
    withRequest(request, [&](State& state) {
        auto tokens = state.sequencer.transcript().size();
        casualty = { state.fingerprint, tokens > flight.firstIndex, tokens > 0 };
        pool = state.pool;
    });
    if (!casualty)
        return;
    withPool(pool, [&](FairPool& target) { wasUp = target.setDown(flight.upstream); });
    if (wasUp)
        m_recorder.countUpstreamLoss();
    tellAtOnce(m_blame.onUpstreamLost(deathOf(flight.upstream), std::span(&*casualty, 1), context.now), context);
    loseAttempt(request, flight.attempt, context);
}

template<typename Policies>
void NodeCore<Policies>::handle(const ProbeFailed& event, Context& context)
{
    auto pool = m_directory.poolOf(event.upstream);
    if (!pool)
        return;
    withPool(*pool, [&](FairPool& target) { target.setDown(event.upstream); });
    pump(*pool, context);
}

template<typename Policies>
void NodeCore<Policies>::handle(const route::LoadReport& report, Context& context)
{
    auto pool = m_directory.poolOf(report.upstream);
    if (!pool)
        return;
    withPool(*pool, [&](FairPool& target) { target.observe(report); });
    if (report.isLeaving) {
        auto entry = m_gossipStore.find({ membership::GossipKind::Upstream, report.upstream.text });
        const auto* record = entry ? std::get_if<route::UpstreamRecord>(&entry->body) : nullptr;
        if (record && record->state == route::UpstreamState::Live) {
            auto leaving = *record;
            leaving.state = route::UpstreamState::Leaving;
            learn(membership::makeGossipEntry(leaving), context);
        }
    }
    pump(*pool, context);
}

template<typename Policies>
void NodeCore<Policies>::handle(const route::CacheEvent& event, Context&)
{
    if (auto pool = m_directory.poolOf(event.upstream))
        withPool(*pool, [&](FairPool& target) { target.observe(event); });
}

} // namespace redwingseam::node
