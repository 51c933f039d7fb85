#pragma once

#include "base/Hash.h"
#include "membership/RendezvousHash.h"
#include "node/NodeCore.h"
#include "store/ObjectKeys.h"

// Watches the platform's store, validates and stores edits of settings, and handles the store's replies.
namespace redwingseam::node {

template<typename Rules>
settings::RequestSettings NodeCore<Rules>::requestSettingsFor(const CallerRequest& request)
{
    auto tree = m_settings.snapshot();
    return settings::resolveRequestSettings(*tree, { request.client, request.work, m_config.region });
}

template<typename Rules>
void NodeCore<Rules>::updateWatches(CallContext& context)
{
    static constexpr size_t watchersPerDataCentre = 2;
    auto chosen = membership::selectByRendezvousHash(m_vmDirectory.liveInDataCentre(m_config.dataCentre), "watch", watchersPerDataCentre);
    bool isChosen = chosen.size() < watchersPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
    if (m_isWatching.exchange(isChosen) == isChosen)
        return;
    for (auto prefix : store::watchedPrefixes)
        context.emit(store::WatchObjects { std::string(prefix), isChosen });
}

template<typename Rules>
bool NodeCore<Rules>::isPreferredSettingsWriter()
{
    // The preferred writer stores a validated edit at once. The other watchers do so later, if it is still
    // missing. It is the first watcher of the data centre with the highest hash. All nodes that know the same data
    // centres and VMs choose the same one.
    auto dataCentres = m_vmDirectory.otherDataCentres();
    dataCentres.push_back(m_config.dataCentre);
    auto weight = [](const base::DataCentreName& name) { return base::hashBytes(name.text); };
    auto first = std::max_element(dataCentres.begin(), dataCentres.end(), [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
    if (*first != m_config.dataCentre)
        return false;
    auto watchers = membership::selectByRendezvousHash(m_vmDirectory.liveInDataCentre(m_config.dataCentre), "watch", 1);
    return watchers.empty() || watchers.front() == m_config.self;
}

template<typename Rules>
void NodeCore<Rules>::storeAcceptedBranches(CallContext& context)
{
    if (!m_isWatching)
        return;
    bool isPreferred = isPreferredSettingsWriter();
    for (auto& decision : m_editValidator.takeDueDecisions(context.now, isPreferred)) {
        store::BranchStatus status { decision.path, decision.editVersion, decision.branch.has_value(), decision.reason };
        if (decision.branch) {
            auto kind = decision.expectedVersion.value ? store::CallKind::Update : store::CallKind::Create;
            store::AcceptedBranch accepted { std::move(*decision.branch), decision.editVersion };
            context.emit(store::StoreCall { kind, store::acceptedBranchKey(decision.path), decision.expectedVersion, std::move(accepted), store::CallPurpose::BranchAccept, 0 });
        }
        context.emit(store::StoreCall { store::CallKind::Put, store::branchStatusKey(decision.path), {}, std::move(status), store::CallPurpose::BranchStatus, 0 });
    }
}

template<typename Rules>
void NodeCore<Rules>::handle(const store::ObjectChanged& event, CallContext& context)
{
    if (!event.value) {
        if (auto path = store::branchEditPath(event.key))
            m_editValidator.onEditDeleted(*path, event.version, context.now);
        return;
    }
    if (const auto* edit = std::get_if<store::BranchEdit>(&*event.value)) {
        m_editValidator.onEdit(*edit, event.version, context.now);
    } else if (const auto* accepted = std::get_if<store::AcceptedBranch>(&*event.value)) {
        m_editValidator.onAccepted(accepted->branch.path, event.version, accepted->editVersion);
        auto branch = accepted->branch;
        branch.version = event.version;
        mergeGossipEntry(membership::makeGossipEntry(branch), context);
    } else if (const auto* upstream = std::get_if<route::UpstreamRecord>(&*event.value)) {
        mergeGossipEntry(membership::makeGossipEntry(*upstream), context);
    }
}

template<typename Rules>
void NodeCore<Rules>::handle(const store::StoreReply& reply, CallContext& context)
{
    bool isAnswered = reply.outcome != store::CallOutcome::Unknown;
    if (isAnswered)
        m_platformUnreachableSince = 0;
    else if (!m_platformUnreachableSince)
        m_platformUnreachableSince = context.now.time_since_epoch().count();
    switch (reply.call.purpose) {
    case store::CallPurpose::ClaimCheckpointRead:
    case store::CallPurpose::ClaimRead:
    case store::CallPurpose::ClaimCreate:
        handleClaimReply(reply, context);
        break;
    case store::CallPurpose::ClaimCheckpointWrite:
        m_claimLog.onCheckpointStored(reply.call.claimGroup, reply.outcome, reply.version);
        break;
    case store::CallPurpose::BranchAccept:
        m_editValidator.onAcceptReply(reply, context.now);
        if (reply.outcome == store::CallOutcome::Done || reply.outcome == store::CallOutcome::Conflict)
            handle(store::ObjectChanged { reply.call.key, reply.version, reply.outcome == store::CallOutcome::Done ? reply.call.value : reply.value }, context);
        break;
    case store::CallPurpose::BranchStatus:
        m_editValidator.onStatusReply(reply, context.now);
        break;
    case store::CallPurpose::BranchRead:
    case store::CallPurpose::LeaseRead:
    case store::CallPurpose::LeaseWrite:
    case store::CallPurpose::VmWrite:
        break;
    }
}

} // namespace redwingseam::node
