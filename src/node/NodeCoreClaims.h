#pragma once

#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"
#include "store/ObjectKeys.h"

// Records non-idempotent calls in the claim log before they are dispatched.
namespace redwingseam::node {

template<typename Rules>
void NodeCore<Rules>::claim(const State& state, CallContext& context)
{
    submit({ claim::RecordKind::Claimed, *state.request.key, state.holder, {} }, { state.request.id, {} }, context);
}

template<typename Rules>
void NodeCore<Rules>::submit(claim::ClaimRecord record, claim::ClaimWaiter waiter, CallContext& context)
{
    auto group = claim::ShardedClaimLog::groupOf(record.key);
    // Any VM may append. Sending all records of a group through one VM avoids write conflicts and fills the
    // batches.
    auto writer = membership::selectByRendezvousHash(m_vmDirectory.live(), store::claimGroupPrefix(group), 1);
    bool isOwnWriter = writer.empty() || writer.front() == m_config.self;
    if (isOwnWriter) {
        m_claimLog.append(std::move(record), std::move(waiter));
        issueClaimCall(group, context);
        return;
    }
    m_claimLog.relay(record, std::move(waiter), context.now);
    send(writer.front(), peer::ClaimRelay { m_config.self, { std::move(record) } }, context);
}

template<typename Rules>
void NodeCore<Rules>::issueClaimCall(size_t group, CallContext& context)
{
    auto call = m_claimLog.poll(group, context.now);
    store::StoreCall effect;
    effect.claimGroup = group;
    switch (call.kind) {
    case claim::LogCallKind::None:
        return;
    case claim::LogCallKind::ReadCheckpoint:
        effect.key = store::claimCheckpointKey(group);
        effect.purpose = store::CallPurpose::ClaimCheckpointRead;
        break;
    case claim::LogCallKind::Read:
        effect.key = store::claimBatchKey(group, call.number);
        effect.purpose = store::CallPurpose::ClaimRead;
        break;
    case claim::LogCallKind::Create:
        effect.kind = store::CallKind::Create;
        effect.key = store::claimBatchKey(group, call.number);
        effect.value = std::move(call.batch);
        effect.purpose = store::CallPurpose::ClaimCreate;
        break;
    }
    context.emit(std::move(effect));
}

template<typename Rules>
void NodeCore<Rules>::handleClaimReply(const store::StoreReply& reply, CallContext& context)
{
    auto group = reply.call.claimGroup;
    auto jitter = static_cast<uint64_t>(context.random());
    const auto* checkpoint = reply.value ? std::get_if<claim::Checkpoint>(&*reply.value) : nullptr;
    const auto* batch = reply.value ? std::get_if<claim::ClaimBatch>(&*reply.value) : nullptr;
    std::vector<claim::ClaimNotice> notices;
    if (reply.call.purpose == store::CallPurpose::ClaimCheckpointRead)
        notices = m_claimLog.onCheckpoint(group, reply.outcome, reply.version, checkpoint ? std::optional(*checkpoint) : std::nullopt, context.now, jitter);
    else if (reply.call.purpose == store::CallPurpose::ClaimRead)
        notices = m_claimLog.onRead(group, reply.outcome, batch ? std::optional(*batch) : std::nullopt, context.now, jitter);
    else
        notices = m_claimLog.onCreated(group, reply.outcome, context.now, jitter);
    handleClaimNotices(notices, context);
    issueClaimCall(group, context);
    base::ObjectVersion expected;
    if (auto due = m_claimLog.dueCheckpoint(group, expected)) {
        auto kind = expected.value ? store::CallKind::Update : store::CallKind::Create;
        context.emit(store::StoreCall { kind, store::claimCheckpointKey(group), expected, std::move(*due), store::CallPurpose::ClaimCheckpointWrite, group });
    }
}

template<typename Rules>
void NodeCore<Rules>::handleClaimNotices(const std::vector<claim::ClaimNotice>& notices, CallContext& context)
{
    for (const auto& notice : notices) {
        if (!notice.waiter.peerAddress.empty()) {
            auto effectiveRecord = notice.effectiveRecord;
            context.emit(peer::SendPeerMessage { notice.waiter.peerAddress, peer::ClaimDecided { m_config.self, notice.recordId.holder, notice.recordId.kind, std::move(effectiveRecord) } });
        }
        if (notice.waiter.request)
            handleClaimNotice(*notice.waiter.request, notice.recordId, notice.effectiveRecord, context);
    }
}

template<typename Rules>
void NodeCore<Rules>::handleClaimNotice(base::RequestId id, const claim::ClaimRecordId& recordId, const claim::ClaimRecord& effectiveRecord, CallContext& context)
{
    bool isOwnClaim = recordId.kind == claim::RecordKind::Claimed && Rules::ClaimRules::isGranted(effectiveRecord, recordId.holder);
    bool isWaiting = false;
    withRequest(id, [&](State& state) {
        isWaiting = state.phase == RequestPhase::Claiming && (state.holder == recordId.holder || state.awaitsOutcome);
        if (!isWaiting || !isOwnClaim)
            return;
        state.hasClaim = true;
        state.phase = RequestPhase::Queued;
    });
    if (isWaiting && isOwnClaim)
        enqueue(id, context);
    else if (isWaiting)
        handleConflictingClaim(id, effectiveRecord, context);
    else if (isOwnClaim && m_claimLog.takeWithdrawn(recordId))
        // The caller has been refused with NotRun, so the claim is abandoned. A repeated notice for a
        // claim that is in use must not get here: it would free the key while its work is still running.
        submit({ claim::RecordKind::Abandoned, recordId.key, recordId.holder, {} }, {}, context);
}

template<typename Rules>
void NodeCore<Rules>::handleConflictingClaim(base::RequestId id, const claim::ClaimRecord& effectiveRecord, CallContext& context)
{
    if (effectiveRecord.kind == claim::RecordKind::Finished) {
        if (auto state = removeRequest(id)) {
            m_recorder.recordFinish(state->requestSettings, context.now);
            context.emit(Finish { id, 0, 0, effectiveRecord.response });
        }
        return;
    }
    bool isAbandoned = effectiveRecord.kind == claim::RecordKind::Abandoned;
    base::Instant deadline;
    std::optional<State> copy;
    withRequest(id, [&](State& state) {
        state.awaitsOutcome = !isAbandoned;
        // This request's record under its old holder number lost the key and can no longer win it, so the
        // request claims the key again under a new number.
        state.holder += isAbandoned ? 1 : 0;
        deadline = state.deadline;
        if (isAbandoned)
            copy = state;
    });
    if (copy) {
        claim(*copy, context);
        return;
    }
    if (auto known = m_claimLog.awaitOutcome(effectiveRecord.key, id, deadline))
        handleConflictingClaim(id, *known, context);
}

template<typename Rules>
void NodeCore<Rules>::handleMessage(const peer::ClaimRelay& message, CallContext& context)
{
    auto address = m_vmDirectory.addressOf(message.from);
    if (!address)
        return;
    for (const auto& record : message.records) {
        m_claimLog.append(record, { std::nullopt, *address });
        issueClaimCall(claim::ShardedClaimLog::groupOf(record.key), context);
    }
}

template<typename Rules>
void NodeCore<Rules>::handleMessage(const peer::ClaimDecided& message, CallContext& context)
{
    claim::ClaimRecordId recordId { message.effectiveRecord.key, message.holder, message.kind };
    if (auto notice = m_claimLog.onDecided(recordId, message.effectiveRecord))
        handleClaimNotices({ *notice }, context);
}

} // namespace redwingseam::node
