#pragma once

#include "node/NodeCore.h"
#include "redwingseam/settings/FieldSpec.h"
#include "route/PrefixHashes.h"

// Admits, refuses and removes requests.
namespace redwingseam::node {

template<typename Rules>
template<typename Function>
void NodeCore<Rules>::withRequest(const base::RequestId& id, Function&& function)
{
    m_requests.with(id.value, [&](RequestMap& requests) {
        auto found = requests.find(id);
        if (found != requests.end())
            function(found->second);
    });
}

template<typename Rules>
std::optional<typename NodeCore<Rules>::State> NodeCore<Rules>::removeRequest(const base::RequestId& id)
{
    return m_requests.with(id.value, [&](RequestMap& requests) -> std::optional<State> {
        auto found = requests.find(id);
        if (found == requests.end())
            return std::nullopt;
        auto state = std::move(found->second);
        requests.erase(found);
        return state;
    });
}

template<typename Rules>
void NodeCore<Rules>::handle(const CallerRequest& request, CallContext& context)
{
    State state;
    state.request = request;
    state.requestSettings = requestSettingsFor(request);
    state.fingerprint = fingerprintOf(request);
    state.arrivedAt = context.now;
    state.deadline = context.now + state.requestSettings.deadline;
    m_recorder.countRequest(state.requestSettings.rank);
    if (m_isDraining) {
        refuse(state, { base::ResultCode::Draining, "this VM is shutting down" }, RunState::NotRun, context);
        return;
    }
    if (checkTarget(state, context) && checkResume(state, context))
        admit(std::move(state), context);
}

template<typename Rules>
bool NodeCore<Rules>::checkTarget(State& state, CallContext& context)
{
    const auto& target = state.request.resume ? state.request.resume->pool.text : state.request.target;
    auto pool = m_poolDirectory.resolve(target);
    if (!pool && m_poolDirectory.isEmpty()) {
        refuse(state, { base::ResultCode::NoUpstream, "this VM has received no upstream records yet" }, RunState::NotRun, context);
        return false;
    }
    if (!pool) {
        refuse(state, { base::ResultCode::UnknownModel, "no upstream serves \"" + target + "\"" }, RunState::NotRun, context);
        return false;
    }
    state.pool = *pool;
    if (state.request.maxTokens > state.requestSettings.maxTokens) {
        refuse(state, { base::ResultCode::RequestTooLarge, "max_tokens is " + std::to_string(state.request.maxTokens) + ", but the limit is " + std::to_string(state.requestSettings.maxTokens) }, RunState::NotRun, context);
        return false;
    }
    if (m_crashAttribution.quarantineState(state.fingerprint) == route::QuarantineState::Quarantined) {
        refuse(state, { base::ResultCode::HarmfulRequest, "this request crashed the upstreams that ran it" }, RunState::NotRun, context);
        return false;
    }
    bool needsKey = !state.isRepeatable() && !state.request.key;
    if (needsKey) {
        refuse(state, { base::ResultCode::MissingIdempotencyKey, "service \"" + target + "\" is not idempotent, so calls to it need an Idempotency-Key" }, RunState::NotRun, context);
        return false;
    }
    return true;
}

template<typename Rules>
bool NodeCore<Rules>::checkResume(State& state, CallContext& context)
{
    if (!state.request.resume)
        return true;
    const auto& resume = *state.request.resume;
    state.request.seed = resume.seed;
    state.deliveredBeforeResume = resume.delivered;
    if (state.request.resumeTokenIds.empty())
        return true;
    state.sequencer.preload(state.request.resumeTokenIds);
    const auto& transcript = state.sequencer.transcript();
    bool isDelivered = transcript.size() == resume.delivered && transcript.hash() == resume.transcriptHash;
    if (!isDelivered)
        refuse(state, { base::ResultCode::ResumeRejected, "the " + std::to_string(transcript.size()) + " token ids in the request do not match the " + std::to_string(resume.delivered) + " tokens of the resume point" }, RunState::Partial, context);
    return isDelivered;
}

template<typename Rules>
void NodeCore<Rules>::admit(State state, CallContext& context)
{
    auto id = state.request.id;
    bool needsClaim = !state.isRepeatable();
    state.phase = needsClaim ? RequestPhase::Claiming : RequestPhase::Queued;
    if (needsClaim)
        state.holder = (static_cast<uint64_t>(context.random()) << 32) ^ context.random() ^ id.value;
    State copyForClaim = needsClaim ? state : State {};
    m_requests.with(id.value, [&](RequestMap& requests) { requests.insert_or_assign(id, std::move(state)); });
    if (needsClaim)
        claim(copyForClaim, context);
    else
        enqueue(id, context);
}

template<typename Rules>
schedule::QueuedWork NodeCore<Rules>::makeQueuedWork(const State& state)
{
    auto rank = state.requestSettings.rank;
    if (state.request.requestedRank)
        rank = std::max(rank, *state.request.requestedRank);
    return {
        .request = state.request.id,
        .fingerprint = state.fingerprint,
        .client = state.request.client,
        .rank = rank,
        .cost = state.remainingCost(),
        .weight = state.requestSettings.weight,
        .deadline = state.deadline,
        .isResume = state.attemptCount > 0 || state.request.resume.has_value(),
        .isFirstDispatch = !state.attemptCount,
        .isSuspect = false,
        .avoidedUpstream = state.current ? state.current->upstream : state.lastFailedUpstream,
        .prefixHashes = state.isGeneration() ? route::prefixHashes(state.request.content) : std::vector<uint64_t> {},
    };
}

template<typename Rules>
void NodeCore<Rules>::enqueue(const base::RequestId& id, CallContext& context)
{
    std::optional<schedule::QueuedWork> work;
    base::PoolName pool;
    size_t queueLimit = 0;
    withRequest(id, [&](State& state) {
        work = makeQueuedWork(state);
        pool = state.pool;
        queueLimit = state.requestSettings.queueLimit;
    });
    if (!work)
        return;
    if (m_crashAttribution.quarantineState(work->fingerprint) == route::QuarantineState::Suspected) {
        queueSuspect(*work, pool, context);
        return;
    }
    bool isQueued = true;
    withPool(pool, [&](FairPool& target) {
        bool isNew = !work->isResume;
        isQueued = !isNew || target.queue().waitingForClient(work->rank, work->client) < queueLimit;
        if (isQueued)
            target.push(std::move(*work));
    });
    if (!isQueued) {
        refuse(id, { base::ResultCode::QueueFull, "client \"" + work->client.text + "\" has reached its limit of " + std::to_string(queueLimit) + " queued requests" }, RunState::NotRun, context);
        return;
    }
    dispatchQueued(pool, context);
}

template<typename Rules>
void NodeCore<Rules>::refuse(const base::RequestId& id, base::Error error, RunState runState, CallContext& context)
{
    auto state = removeRequest(id);
    if (!state)
        return;
    refuse(*state, std::move(error), runState, context);
    cancelAttemptsAndDispatch(*state, context);
}

template<typename Rules>
void NodeCore<Rules>::refuse(const State& state, base::Error error, RunState runState, CallContext& context)
{
    bool isRetryable = error.code == base::ResultCode::QueueFull || error.code == base::ResultCode::DeadlinePassed || error.code == base::ResultCode::ClaimStoreUnavailable || error.code == base::ResultCode::NoUpstream || error.code == base::ResultCode::Draining;
    m_recorder.countRefusal(state.requestSettings, error.code, context.now);
    if (runState == RunState::NotRun)
        abandonClaim(state, context);
    context.emit(Refuse { state.request.id, std::move(error), runState, isRetryable ? retryAfter(state.pool) : base::Duration {} });
}

template<typename Rules>
void NodeCore<Rules>::cancelAttempts(const State& state, CallContext& context)
{
    for (const auto* attempt : { &state.current, &state.hedge }) {
        if (!*attempt)
            continue;
        context.emit(CancelAttempt { state.request.id, (*attempt)->number, (*attempt)->upstream });
        release(state.pool, (*attempt)->upstream, state.request.id);
    }
    withPool(state.pool, [&](FairPool& pool) { pool.remove(state.request.id); });
}

template<typename Rules>
void NodeCore<Rules>::cancelAttemptsAndDispatch(const State& state, CallContext& context)
{
    cancelAttempts(state, context);
    dispatchQueued(state.pool, context);
}

template<typename Rules>
base::Duration NodeCore<Rules>::retryAfter(const base::PoolName& name)
{
    // Estimates the time until the queue drains, assuming that each slot becomes free every 5 s.
    static constexpr base::Duration slotTurnover = std::chrono::seconds(5);
    static constexpr base::Duration longestWait = std::chrono::minutes(2);
    base::Duration wait = std::chrono::seconds(1);
    withPool(name, [&](FairPool& pool) {
        auto slots = std::max<int64_t>(1, pool.capacity());
        wait += slotTurnover * static_cast<int64_t>(pool.queue().size()) / slots;
    });
    return std::min(wait, longestWait);
}

template<typename Rules>
void NodeCore<Rules>::handle(const CallerDisconnected& event, CallContext& context)
{
    bool mustKeep = false;
    withRequest(event.request, [&](State& state) {
        // A call that may have run is kept, so that its outcome is recorded for retries with the same key.
        mustKeep = state.hasClaim && state.phase == RequestPhase::Running;
        if (mustKeep)
            state.phase = RequestPhase::Detached;
    });
    if (mustKeep)
        return;
    auto state = removeRequest(event.request);
    if (!state)
        return;
    abandonClaim(*state, context);
    cancelAttemptsAndDispatch(*state, context);
}

template<typename Rules>
void NodeCore<Rules>::abandonClaim(const State& state, CallContext& context)
{
    // Frees the idempotency key for a retry.
    if (state.hasClaim)
        submit({ claim::RecordKind::Abandoned, *state.request.key, state.holder, {} }, {}, context);
    else if (state.phase == RequestPhase::Claiming)
        m_claimLog.withdraw({ *state.request.key, state.holder, claim::RecordKind::Claimed });
}

} // namespace redwingseam::node
