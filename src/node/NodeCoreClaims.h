#pragma once

#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"
#include "store/ObjectKeys.h"

// Recording of non-idempotent calls before they are dispatched.
namespace redwingseam::node {

template<typename Policies>
void NodeCore<Policies>::claim(const State& state, Context& context)
{
    submit({ claim::RecordKind::Claimed, *state.request.key, state.holder, {} }, { state.request.id, {} }, context);
}

template<typename Policies>
void NodeCore<Policies>::submit(claim::ClaimRecord record, claim::ClaimWaiter waiter, Context& context)
{
    auto group = claim::ClaimDesk::groupOf(record.key);
    // Any VM may append; that one VM does it for all saves conflicts and fills the batches.
    auto writer = membership::selectByRendezvousHash(m_vms.live(), store::claimGroupPrefix(group), 1);
    bool isOwnWriter = writer.empty() || writer.front() == m_config.self;
    if (isOwnWriter) {
        m_claims.append(std::move(record), std::move(waiter));
        pumpClaims(group, context);
        return;
    }
    m_claims.relay(record, std::move(waiter), context.now);
    send(writer.front(), peer::ClaimRelay { m_config.self, { std::move(record) } }, context);
}

template<typename Policies>
void NodeCore<Policies>::pumpClaims(size_t group, Context& context)
{
    auto call = m_claims.poll(group, context.now);
    store::PlatformCall effect;
    effect.group = group;
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
void NodeCore<Policies>::onClaimReply(const store::PlatformReply& reply, Context& context)
{
    auto group = reply.call.group;
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
    settle(notices, context);
    pumpClaims(group, context);
    base::ObjectVersion expected;
    if (auto due = m_claims.dueCheckpoint(group, expected)) {
        auto kind = expected.value ? store::CallKind::Update : store::CallKind::Create;
        context.emit(store::PlatformCall { kind, store::claimCheckpointKey(group), expected, std::move(*due), store::CallPurpose::ClaimCheckpointWrite, group });
    }
}

template<typename Policies>
void NodeCore<Policies>::settle(const std::vector<claim::ClaimNotice>& notices, Context& context)
{
    for (const auto& notice : notices) {
        if (!notice.waiter.peerAddress.empty()) {
            auto inForce = notice.inForce;
            context.emit(peer::PeerSend { notice.waiter.peerAddress, peer::ClaimDecided { m_config.self, notice.ticket.holder, notice.ticket.kind, std::move(inForce) } });
        }
        if (notice.waiter.request)
            settleRequest(*notice.waiter.request, notice.ticket, notice.inForce, context);
    }
}

template<typename Policies>
void NodeCore<Policies>::settleRequest(base::RequestId id, const claim::ClaimTicket& ticket, const claim::ClaimRecord& inForce, Context& context)
{
    bool isOwnClaim = ticket.kind == claim::RecordKind::Claimed && Policies::ClaimRules::isGranted(inForce, ticket.holder);
    bool isWaiting = false;
    withRequest(id, [&](State& state) {
        isWaiting = state.phase == RequestPhase::Claiming && (state.holder == ticket.holder || state.awaitsOutcome);
        if (!isWaiting || !isOwnClaim)
            return;
        state.hasClaim = true;
        state.phase = RequestPhase::Queued;
    });
    if (isWaiting && isOwnClaim)
        enqueue(id, context);
    else if (isWaiting)
        settleForeign(id, inForce, context);
    else if (isOwnClaim && m_claims.takeWithdrawn(ticket))
        // The caller was told that nothing was run. A second notice of a claim that is in use must not
        // come here: the key would be free while its work is under way.
        submit({ claim::RecordKind::Abandoned, ticket.key, ticket.holder, {} }, {}, context);
}

template<typename Policies>
void NodeCore<Policies>::settleForeign(base::RequestId id, const claim::ClaimRecord& inForce, Context& context)
{
    if (inForce.kind == claim::RecordKind::Finished) {
        if (auto state = take(id)) {
            m_recorder.recordFinish(state->policy, context.now);
            context.emit(Finish { id, 0, 0, inForce.answer });
        }
        return;
    }
    bool isFreeAgain = inForce.kind == claim::RecordKind::Abandoned;
    base::Instant deadline;
    std::optional<State> copy;
    withRequest(id, [&](State& state) {
        state.awaitsOutcome = !isFreeAgain;
        // A new holder: the record of the old one has lost for good.
        state.holder += isFreeAgain ? 1 : 0;
        deadline = state.deadline;
        if (isFreeAgain)
            copy = state;
    });
    if (copy) {
        claim(*copy, context);
        return;
    }
    if (auto known = m_claims.awaitOutcome(inForce.key, id, deadline))
        settleForeign(id, *known, context);
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::ClaimRelay& message, Context& context)
{
    auto address = m_vms.addressOf(message.from);
    if (!address)
        return;
    for (const auto& record : message.records) {
        m_claims.append(record, { std::nullopt, *address });
        pumpClaims(claim::ClaimDesk::groupOf(record.key), context);
    }
}

template<typename Policies>
void NodeCore<Policies>::on(const peer::ClaimDecided& message, Context& context)
{
    claim::ClaimTicket ticket { message.inForce.key, message.holder, message.kind };
    if (auto notice = m_claims.onDecided(ticket, message.inForce))
        settle({ *notice }, context);
}

} // namespace redwingseam::node
