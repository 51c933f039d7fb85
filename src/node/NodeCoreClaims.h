#pragma once

#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"
#include "store/ObjectKeys.h"

// Records non-idempotent calls in the claim log before they are dispatched.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::claim(const State& state, Context& context)
{
    submit({ claim::RecordKind::Claimed, *state.request.key, state.holder, {} }, { state.request.id, {} }, context);
}

template<typename Policies>
void NodeCore<Policies>::submit(claim::ClaimRecord record, claim::ClaimWaiter waiter, Context& context)
{
    auto group = claim::ShardedClaimLog::groupOf(record.key);
    // Any VM may append. Sending all records of a group through one VM avoids write conflicts and fills the
    // batches.
    auto writer = membership::selectByRendezvousHash(m_vms.live(), store::claimGroupPrefix(group), 1);
    bool isOwnWriter = writer.empty() || writer.front() == m_config.self;
    if (isOwnWriter) {
        m_claims.append(std::move(record), std::move(waiter));
        issueClaimCall(group, context);
        return;
    }
    m_claims.relay(record, std::move(waiter), context.now);
    send(writer.front(), peer::ClaimRelay { m_config.self, { std::move(record) } }, context);
}

template<typename Policies>
void NodeCore<Policies>::issueClaimCall(size_t group, Context& context)
{
    auto call = m_claims.poll(group, context.now);
    store::StoreCall effect;
    effect.claimGroup = group;
    switch (call.step) {
    case claim::AppendStep::None:
        return;
    case claim::AppendStep::ReadCheckpoint:
        effect.key = store::claimCheckpointKey(group);
        effect.purpose = store::CallPurpose::ClaimCheckpointRead;
        break;
    case claim::AppendStep::Read:
        effect.key = store::claimBatchKey(group, call.number);
        effect.purpose = store::CallPurpose::ClaimRead;
        break;
    case claim::AppendStep::Create:
        effect.kind = store::CallKind::Create;
        effect.key = store::claimBatchKey(group, call.number);
        effect.value = std::move(call.batch);
        effect.purpose = store::CallPurpose::ClaimCreate;
        break;
    }
    context.emit(std::move(effect));
}

template<typename Policies>
void NodeCore<Policies>::onClaimReply(const store::StoreReply& reply, Context& context)
{
    auto group = reply.call.claimGroup;
    auto jitter = static_cast<uint64_t>(context.random());
    const auto* checkpoint = reply.value ? std::get_if<claim::Checkpoint>(&*reply.value) : nullptr;
    const auto* batch = reply.value ? std::get_if<claim::ClaimBatch>(&*reply.value) : nullptr;
    std::vector<claim::ClaimNotice> notices;
    if (reply.call.purpose == store::CallPurpose::ClaimCheckpointRead)
        notices = m_claims.onCheckpoint(group, reply.outcome, reply.version, checkpoint ? std::optional(*checkpoint) : std::nullopt, context.now, jitter);
    else if (reply.call.purpose == store::CallPurpose::ClaimRead)
        notices = m_claims.onRead(group, reply.outcome, batch ? std::optional(*batch) : std::nullopt, context.now, jitter);
    else
        notices = m_claims.onCreated(group, reply.outcome, context.now, jitter);
    handleClaimNotices(notices, context);
    issueClaimCall(group, context);
    base::ObjectVersion expected;
    if (auto due = m_claims.dueCheckpoint(group, expected)) {
        auto kind = expected.value ? store::CallKind::Update : store::CallKind::Create;
        context.emit(store::StoreCall { kind, store::claimCheckpointKey(group), expected, std::move(*due), store::CallPurpose::ClaimCheckpointWrite, group });
    }
}

template<typename Policies>
void NodeCore<Policies>::handleClaimNotices(const std::vector<claim::ClaimNotice>& notices, Context& context)
{
    for (const auto& notice : notices) {
        if (!notice.waiter.peerAddress.empty()) {
            auto inForce = notice.inForce;
            context.emit(peer::SendPeerMessage { notice.waiter.peerAddress, peer::ClaimDecided { m_config.self, notice.recordId.holder, notice.recordId.kind, std::move(inForce) } });
        }
        if (notice.waiter.request)
            handleClaimNotice(*notice.waiter.request, notice.recordId, notice.inForce, context);
    }
}

template<typename Policies>
void NodeCore<Policies>::handleClaimNotice(base::RequestId id, const claim::ClaimRecordId& recordId, const claim::ClaimRecord& inForce, Context& context)
{
    bool isOwnClaim = recordId.kind == claim::RecordKind::Claimed && Policies::ClaimRules::isGranted(inForce, recordId.holder);
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
        handleConflictingClaim(id, inForce, context);
    else if (isOwnClaim && m_claims.takeWithdrawn(recordId))
        // The caller has been refused with NotRun, so the claim is abandoned. A repeated notice for a
        // claim that is in use must not get here: it would free the key while its work is still running.
        submit({ claim::RecordKind::Abandoned, recordId.key, recordId.holder, {} }, {}, context);
}

template<typename Policies>
void NodeCore<Policies>::handleConflictingClaim(base::RequestId id, const claim::ClaimRecord& inForce, Context& context)
{
    if (inForce.kind == claim::RecordKind::Finished) {
        if (auto state = removeRequest(id)) {
            m_recorder.recordFinish(state->requestSettings, context.now);
            context.emit(Finish { id, 0, 0, inForce.answer });
        }
        return;
    }
    bool isAbandoned = inForce.kind == claim::RecordKind::Abandoned;
    base::Instant deadline;
    std::optional<State> copy;
    withRequest(id, [&](State& state) {
        state.awaitsOutcome = !isAbandoned;
        // Uses a new holder number, because the old holder's record can no longer win the key.
        state.holder += isAbandoned ? 1 : 0;
        deadline = state.deadline;
        if (isAbandoned)
            copy = state;
    });
    if (copy) {
        claim(*copy, context);
        return;
    }
    if (auto known = m_claims.awaitOutcome(inForce.key, id, deadline))
        handleConflictingClaim(id, *known, context);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::ClaimRelay& message, Context& context)
{
    auto address = m_vms.addressOf(message.from);
    if (!address)
        return;
    for (const auto& record : message.records) {
        m_claims.append(record, { std::nullopt, *address });
        issueClaimCall(claim::ShardedClaimLog::groupOf(record.key), context);
    }
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::ClaimDecided& message, Context& context)
{
    claim::ClaimRecordId recordId { message.inForce.key, message.holder, message.kind };
    if (auto notice = m_claims.onDecided(recordId, message.inForce))
        handleClaimNotices({ *notice }, context);
}

} // namespace redwingseam::node
