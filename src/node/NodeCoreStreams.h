#pragma once

#include "node/AcceptTokens.h"
#include "node/NodeCore.h"
#include "stream/StallTimeout.h"

// Receives tokens and handles the end or loss of attempts and upstreams.
namespace redwingseam::node {

template<typename Rules>
void NodeCore<Rules>::handle(const TokensReceived& event, CallContext& context)
{
    TokenOutcome outcome;
    withRequest(event.request, [&](State& state) { outcome = acceptTokens(state, event, context.now); });
    if (outcome.attemptTokenInterval)
        recordUpstreamTokenInterval(outcome, context);
    if (outcome.timeToFirstToken)
        m_recorder.recordFirstToken(outcome.requestSettings, *outcome.timeToFirstToken, outcome.hasLostAttempt, context.now);
    if (outcome.timeSinceLastDelivery)
        m_recorder.recordGap(outcome.requestSettings, *outcome.timeSinceLastDelivery, outcome.hasLostAttempt, context.now);
    if (outcome.isCleared)
        m_crashAttribution.recordProgress(outcome.fingerprint);
    if (outcome.toSend)
        context.emit(std::move(*outcome.toSend));
    if (outcome.cancelledAttempt) {
        context.emit(CancelAttempt { event.request, outcome.cancelledAttempt->number, outcome.cancelledAttempt->upstream });
        release(outcome.pool, outcome.cancelledAttempt->upstream, event.request);
        dispatchQueued(outcome.pool, context);
    }
    if (outcome.hasDiverged)
        refuse(event.request, { base::ResultCode::StreamLost, "the regenerated answer differs from the tokens that were already delivered" }, RunState::Partial, context);
    else if (outcome.hasMissingTokens)
        handleLostAttempt(event.request, event.attempt, context);
}

template<typename Rules>
void NodeCore<Rules>::recordUpstreamTokenInterval(const TokenOutcome& outcome, CallContext&)
{
    bool wasDown = false;
    withPool(outcome.pool, [&](FairPool& target) { wasDown = target.observeTokenInterval(outcome.upstream, *outcome.attemptTokenInterval); });
    // The upstream was marked down but still sends tokens, so it has not crashed and no request is to blame.
    if (wasDown)
        m_crashAttribution.retractCrash(crashIdOf(outcome.upstream));
}

template<typename Rules>
void NodeCore<Rules>::handle(const AttemptEnded& event, CallContext& context)
{
    if (event.end == AttemptEnd::Complete) {
        complete(event, context);
        return;
    }
    std::optional<Attempt> ended;
    base::PoolName pool;
    bool isGeneration = false;
    withRequest(event.request, [&](State& state) {
        if (auto* attempt = state.findAttempt(event.attempt)) {
            ended = *attempt;
            pool = state.pool;
            isGeneration = state.isGeneration();
        }
    });
    if (!ended)
        return;
    bool mayHaveCrashed = event.end == AttemptEnd::Lost && isGeneration;
    if (mayHaveCrashed) {
        handleConnectionLost(event.request, *ended, context);
        return;
    }
    if (event.end != AttemptEnd::Lost) {
        // The work was never run, so the request does not become a suspect, and its claim remains valid for
        // another attempt.
        withPool(pool, [&](FairPool& target) {
            target.release(ended->upstream, event.request);
            target.markDown(ended->upstream);
        });
        withRequest(event.request, [&](State& state) { state.lastFailedUpstream = ended->upstream; });
    }
    bool wasRun = event.end == AttemptEnd::Lost;
    bool mayRepeat = true;
    bool isDetached = false;
    withRequest(event.request, [&](State& state) {
        mayRepeat = !wasRun || Rules::ClaimRules::mayRetryLostCall(state.isRepeatable());
        isDetached = state.phase == RequestPhase::Detached;
    });
    if (isDetached) {
        if (auto state = removeRequest(event.request))
            cancelAttemptsAndDispatch(*state, context);
    } else if (!mayRepeat) {
        refuse(event.request, { base::ResultCode::OutcomeUnknown, "the call was sent and its outcome is not known; retry with the same Idempotency-Key to look it up" }, RunState::Unknown, context);
    } else {
        handleLostAttempt(event.request, event.attempt, context);
    }
}

template<typename Rules>
void NodeCore<Rules>::complete(const AttemptEnded& event, CallContext& context)
{
    bool isComplete = false;
    bool isMissingTokens = false;
    withRequest(event.request, [&](State& state) {
        bool isCurrent = state.current && state.current->number == event.attempt;
        bool isHedge = state.hedge && state.hedge->number == event.attempt;
        bool isWhole = !state.isGeneration() || state.sequencer.transcript().size() == event.totalTokens;
        isComplete = (isCurrent || isHedge) && isWhole;
        isMissingTokens = (isCurrent || isHedge) && !isWhole;
    });
    if (isMissingTokens)
        handleLostAttempt(event.request, event.attempt, context);
    if (!isComplete)
        return;
    auto state = removeRequest(event.request);
    if (!state)
        return;
    bool isShorterThanDelivered = state->isGeneration() && event.totalTokens < state->deliveredBeforeResume;
    if (isShorterThanDelivered) {
        refuse(*state, { base::ResultCode::StreamLost, "the regenerated answer has " + std::to_string(event.totalTokens) + " tokens, but " + std::to_string(state->deliveredBeforeResume) + " were already delivered" }, RunState::Partial, context);
        cancelAttemptsAndDispatch(*state, context);
        return;
    }
    if (state->hasClaim && state->request.key)
        submit({ claim::RecordKind::Finished, *state->request.key, state->holder, event.answer }, {}, context);
    if (state->phase != RequestPhase::Detached) {
        m_recorder.recordFinish(state->requestSettings, context.now);
        context.emit(Finish { event.request, event.totalTokens, state->lostAttempts, event.answer });
    }
    // The completed attempt is only released. The other attempt, if there is one, is cancelled.
    for (auto* attempt : { &state->current, &state->hedge }) {
        if (*attempt && (*attempt)->number == event.attempt) {
            release(state->pool, (*attempt)->upstream, event.request);
            attempt->reset();
        }
    }
    cancelAttemptsAndDispatch(*state, context);
}

template<typename Rules>
void NodeCore<Rules>::handleLostAttempt(base::RequestId id, base::AttemptNumber number, CallContext& context)
{
    std::optional<Attempt> lost;
    base::PoolName pool;
    bool isOutOfRetries = false;
    uint32_t lostAttempts = 0;
    uint32_t resumeLimit = 0;
    withRequest(id, [&](State& state) {
        auto* attempt = state.findAttempt(number);
        if (!attempt)
            return;
        lost = *attempt;
        pool = state.pool;
        state.sequencer.close(number);
        if (state.current && state.current->number == number)
            state.current = std::exchange(state.hedge, std::nullopt);
        else
            state.hedge.reset();
        state.lastFailedUpstream = lost->upstream;
        ++state.lostAttempts;
        lostAttempts = state.lostAttempts;
        resumeLimit = state.requestSettings.resumeLimit;
        isOutOfRetries = lostAttempts > resumeLimit;
    });
    if (!lost)
        return;
    context.emit(CancelAttempt { id, lost->number, lost->upstream });
    release(pool, lost->upstream, id);
    if (isOutOfRetries)
        refuse(id, { base::ResultCode::RetriesExhausted, std::to_string(lostAttempts) + " attempts were lost, which exceeds the resume limit of " + std::to_string(resumeLimit) }, RunState::Partial, context);
    else
        requeueAfterLoss(id, context);
    dispatchQueued(pool, context);
}

template<typename Rules>
void NodeCore<Rules>::requeueAfterLoss(base::RequestId id, CallContext& context)
{
    bool mustQueue = false;
    withRequest(id, [&](State& state) {
        mustQueue = !state.current && !state.isHedgeQueued && state.phase == RequestPhase::Running;
        // A queued hedge replaces the lost attempt.
        if (!state.current && state.phase == RequestPhase::Running)
            state.phase = RequestPhase::Queued;
        state.isHedgeQueued = false;
    });
    if (mustQueue)
        enqueue(id, context);
}

template<typename Rules>
route::CrashId NodeCore<Rules>::crashIdOf(const base::UpstreamName& upstream)
{
    auto entry = m_gossipStore.find({ membership::GossipKind::Upstream, upstream.text });
    return { upstream, entry ? entry->incarnation : 0 };
}

template<typename Rules>
void NodeCore<Rules>::handleConnectionLost(base::RequestId request, const Attempt& attempt, CallContext& context)
{
    // Handles only the stream whose connection broke, since the other streams of the upstream may go on.
    // If the upstream has crashed, each of its streams gets here and is reported as a candidate of the crash
    // before the report window ends and the crash is attributed.
    bool wasUp = false;
    std::optional<route::InterruptedRequest> interrupted;
    base::PoolName pool;
    withRequest(request, [&](State& state) {
        auto tokens = state.sequencer.transcript().size();
        interrupted = { state.fingerprint, tokens > attempt.firstIndex, tokens > 0 };
        pool = state.pool;
    });
    if (!interrupted)
        return;
    withPool(pool, [&](FairPool& target) { wasUp = target.markDown(attempt.upstream); });
    if (wasUp)
        m_recorder.countUpstreamLoss();
    broadcastReports(m_crashAttribution.recordCrash(crashIdOf(attempt.upstream), std::span(&*interrupted, 1), context.now), context);
    handleLostAttempt(request, attempt.number, context);
}

template<typename Rules>
void NodeCore<Rules>::handle(const ProbeFailed& event, CallContext& context)
{
    auto pool = m_poolDirectory.poolOf(event.upstream);
    if (!pool)
        return;
    withPool(*pool, [&](FairPool& target) { target.markDown(event.upstream); });
    dispatchQueued(*pool, context);
}

template<typename Rules>
void NodeCore<Rules>::handle(const route::LoadReport& report, CallContext& context)
{
    auto pool = m_poolDirectory.poolOf(report.upstream);
    if (!pool)
        return;
    withPool(*pool, [&](FairPool& target) { target.observe(report); });
    if (report.isLeaving) {
        auto entry = m_gossipStore.find({ membership::GossipKind::Upstream, report.upstream.text });
        const auto* record = entry ? std::get_if<route::UpstreamRecord>(&entry->body) : nullptr;
        if (record && record->state == route::UpstreamState::Live) {
            auto leaving = *record;
            leaving.state = route::UpstreamState::Leaving;
            mergeGossipEntry(membership::makeGossipEntry(leaving), context);
        }
    }
    dispatchQueued(*pool, context);
}

template<typename Rules>
void NodeCore<Rules>::handle(const route::CacheEvent& event, CallContext&)
{
    if (auto pool = m_poolDirectory.poolOf(event.upstream))
        withPool(*pool, [&](FairPool& target) { target.observe(event); });
}

} // namespace redwingseam::node
