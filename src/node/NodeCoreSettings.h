#pragma once

#include "base/Hash.h"
#include "membership/Rendezvous.h"
#include "node/NodeCore.h"
#include "platform/ObjectKeys.h"

// The settings tree, and what the platform's store shows.
namespace redwingseam::node {

template<typename Policies>
settings::Policy NodeCore<Policies>::policyFor(const CallerRequest& request)
{
    auto tree = m_settings.snapshot();
    return settings::resolvePolicy(*tree, { request.client, request.work, m_config.region });
}

template<typename Policies>
void NodeCore<Policies>::chooseWatches(Context& context)
{
    static constexpr size_t watchersPerDataCentre = 2;
    auto chosen = membership::rendezvous(m_vms.liveInDataCentre(m_config.dataCentre), "watch", watchersPerDataCentre);
    bool isChosen = chosen.size() < watchersPerDataCentre || std::find(chosen.begin(), chosen.end(), m_config.self) != chosen.end();
    if (m_isWatching.exchange(isChosen) == isChosen)
        return;
    for (auto prefix : platform::watchedPrefixes)
        context.emit(platform::WatchObjects { std::string(prefix), isChosen });
}

template<typename Policies>
bool NodeCore<Policies>::isPreferredAcceptor()
{
    // The first watcher of one data centre; all nodes that see the same ones agree on which.
    auto dataCentres = m_vms.otherDataCentres();
    dataCentres.push_back(m_config.dataCentre);
    auto weight = [](const base::DataCentreName& name) { return base::hashBytes(name.text); };
    auto first = std::max_element(dataCentres.begin(), dataCentres.end(), [&](const auto& a, const auto& b) { return weight(a) < weight(b); });
    if (*first != m_config.dataCentre)
        return false;
    auto watchers = membership::rendezvous(m_vms.liveInDataCentre(m_config.dataCentre), "watch", 1);
    return watchers.empty() || watchers.front() == m_config.self;
}

template<typename Policies>
void NodeCore<Policies>::acceptBranches(Context& context)
{
    if (!m_isWatching)
        return;
    bool isPreferred = isPreferredAcceptor();
    for (auto& decision : m_acceptor.due(context.now, isPreferred)) {
        platform::BranchStatus status { decision.path, decision.rawVersion, decision.branch.has_value(), decision.reason };
        if (decision.branch) {
            auto kind = decision.expected.value ? platform::CallKind::Update : platform::CallKind::Create;
            platform::AcceptedBranch accepted { std::move(*decision.branch), decision.rawVersion };
            context.emit(platform::PlatformCall { kind, platform::acceptedBranchKey(decision.path), decision.expected, std::move(accepted), platform::Purpose::BranchAccept, 0 });
        }
        context.emit(platform::PlatformCall { platform::CallKind::Put, platform::branchStatusKey(decision.path), {}, std::move(status), platform::Purpose::BranchStatus, 0 });
    }
}

template<typename Policies>
void NodeCore<Policies>::handle(const platform::ObjectChanged& event, Context& context)
{
    if (!event.value) {
        if (auto path = platform::rawBranchPath(event.key))
            m_acceptor.onRawDeleted(*path, event.version, context.now);
        return;
    }
    if (const auto* raw = std::get_if<platform::RawBranch>(&*event.value)) {
        m_acceptor.onRaw(*raw, event.version, context.now);
    } else if (const auto* accepted = std::get_if<platform::AcceptedBranch>(&*event.value)) {
        m_acceptor.onAccepted(accepted->branch.path, event.version, accepted->rawVersion);
        auto branch = accepted->branch;
        branch.version = event.version;
        learn(membership::makeFact(branch), context);
    } else if (const auto* upstream = std::get_if<route::UpstreamRecord>(&*event.value)) {
        learn(membership::makeFact(*upstream), context);
    }
}

template<typename Policies>
void NodeCore<Policies>::handle(const platform::PlatformReply& reply, Context& context)
{
    bool isAnswered = reply.outcome != platform::CallOutcome::Unknown;
    if (isAnswered)
        m_platformSilentSince = 0;
    else if (!m_platformSilentSince)
        m_platformSilentSince = context.now.time_since_epoch().count();
    switch (reply.call.purpose) {
    case platform::Purpose::ClaimCheckpointRead:
    case platform::Purpose::ClaimRead:
    case platform::Purpose::ClaimCreate:
        onClaimReply(reply, context);
        break;
    case platform::Purpose::ClaimCheckpointWrite:
        m_claims.onCheckpointStored(reply.call.group, reply.outcome, reply.version);
        break;
    case platform::Purpose::BranchAccept:
        m_acceptor.onAcceptReply(reply, context.now);
        if (reply.outcome == platform::CallOutcome::Done || reply.outcome == platform::CallOutcome::Conflict)
            handle(platform::ObjectChanged { reply.call.key, reply.version, reply.outcome == platform::CallOutcome::Done ? reply.call.value : reply.value }, context);
        break;
    case platform::Purpose::BranchStatus:
        m_acceptor.onStatusReply(reply, context.now);
        break;
    case platform::Purpose::BranchRead:
    case platform::Purpose::LeaseRead:
    case platform::Purpose::LeaseWrite:
    case platform::Purpose::VmWrite:
        break;
    }
}

} // namespace redwingseam::node
