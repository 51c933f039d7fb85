#pragma once

#include "log/LogLine.h"
#include "replication/PeerSync.h"
#include "replication/PeerSyncLinkImpl.h"
#include "replication/PeerSyncOriginsImpl.h"
#include "replication/PeerSyncStateImpl.h"

#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace redwingseam::replication {

template<ManifestParser Parser>
PeerSync<Parser>::PeerSync(sync::NodeRecord self, fleet::Fleet& fleet, forward::CrashEvidence& crashes, origin::StreamOrigins& origins, manifest::ManifestHolder& manifest, sync::UpstreamListCache& upstreamCache, sync::NodeRole& role, sync::StoreEra& era)
    : m_fleet(fleet)
    , m_crashes(crashes)
    , m_origins(origins)
    , m_manifest(manifest)
    , m_upstreamCache(upstreamCache)
    , m_role(role)
    , m_era(era)
    , m_directory(std::move(self))
{
}

template<ManifestParser Parser>
void PeerSync<Parser>::setNodes(const std::vector<sync::NodeRecord>& nodes)
{
    std::lock_guard guard(m_mutex);
    m_directory.setNodes(nodes, m_lastTick);
    if (std::exchange(m_hasNodeList, true))
        return;
    m_lastHubQuery = {};
    m_lastRemoteQuery = {};
    m_lastSilentNodeQuery = {};
}

template<ManifestParser Parser>
bool PeerSync<Parser>::isFirstKnownNode()
{
    std::lock_guard guard(m_mutex);
    return m_directory.isFirstKnownNode();
}

template<ManifestParser Parser>
std::vector<sync::NodeRecord> PeerSync<Parser>::goneNodes()
{
    std::lock_guard guard(m_mutex);
    std::vector<sync::NodeRecord> gone;
    if (!isAttentive(m_lastTick))
        return gone;
    for (auto& node : m_directory.neighboursSilentFor(removalAge, m_attentiveSince, m_lastTick))
        gone.push_back(std::move(node.record));
    return gone;
}

template<ManifestParser Parser>
void PeerSync<Parser>::recordRemoval(const sync::NodeRecord& node)
{
    std::lock_guard guard(m_mutex);
    m_directory.remove(node.name, m_lastTick);
}

template<ManifestParser Parser>
void PeerSync<Parser>::updateRole(base::Instant now)
{
    m_fleet.setNodeCount(static_cast<uint32_t>(m_directory.size()));
    m_crashes.setPosition(m_directory.position(), static_cast<uint32_t>(m_directory.size()));
    bool isHub = m_directory.isHub(now);
    bool isLeader = m_directory.isLeader(now);
    if (isHub == m_role.isHub() && isLeader == m_role.isLeader())
        return;
    if (isLeader && !m_role.isLeader())
        m_leaderSince = now;
    m_role.setHub(isHub);
    m_role.setLeader(isLeader);
    auto hub = m_directory.findHub(m_directory.self().dataCentre, now);
    LOG(INFO) << log::LogLine("hub_changed").with("hub", hub ? hub->name.text : std::string()).with("is_self", isHub ? "yes" : "no").with("is_leader", isLeader ? "yes" : "no").text();
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::tick(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    auto requests = m_crashes.requests.takeReports();
    FailureNotice notice { m_directory.self(), m_fleet.takeSuspicionReports(), std::move(requests.crashes), m_crashes.parts.takeReports(), std::move(requests.clearances), std::move(requests.trials), m_fleet.takeLeavingReports() };
    OutgoingMessages outgoing;
    bool hasStoodStill = now - m_lastTick > maxTickGap;
    if (hasStoodStill)
        m_leaderSince = now;
    m_lastTick = now;
    updateRole(now);
    if (hasStoodStill || !isAttentive(now))
        m_attentiveSince = now;
    m_role.setReaderCutOff(now - m_readerCutOffAt < storeLossLifetime);
    std::erase_if(m_pendingQueries, [&](const auto& item) { return now - item.second.sentAt > item.second.timeout; });
    m_peerLoads.removeExpired(now);
    if (!notice.isEmpty())
        sendFailureNotice(outgoing, notice, now);
    if (now - m_lastHubQuery >= (hasState() ? hubQueryInterval : startupQueryInterval))
        queryHub(outgoing, now);
    if (now - m_lastRemoteQuery >= remoteQueryInterval)
        queryRemoteHubs(outgoing, now);
    if (now - m_lastSilentNodeQuery >= silentNodeQueryInterval)
        querySilentNodes(outgoing, now);
    checkOwnLink(outgoing, now);
    askForOrigins(outgoing, now);
    checkList(outgoing, now);
    return outgoing;
}

template<ManifestParser Parser>
OutgoingMessage PeerSync<Parser>::makeQuery(const sync::NodeRecord& node, fleet::LoadMap loads, base::Instant now)
{
    StateQuery query;
    query.sequence = ++m_sequence;
    query.from = m_directory.self();
    auto manifest = m_manifest.state();
    query.manifestVersion = manifest.index ? manifest.index->manifest().version : 0;
    query.manifestAge = now - manifest.confirmedAt;
    auto snapshot = m_upstreamCache.snapshot();
    query.listVersion = snapshot ? snapshot->list->version : sync::StoreVersion {};
    query.listAge = snapshot ? now - snapshot->confirmedAt : base::Duration {};
    query.loads = std::move(loads);
    query.nodeCount = m_directory.sizeWithRemoved(now);
    query.quarantineHash = m_crashes.parts.quarantineHash();
    query.wantsState = !m_unaskedSenders.count(node.name);
    query.wantsProbe = m_stateTransfer.isProbeDue(node.name, now);
    if (query.wantsProbe)
        m_stateTransfer.beginProbe(query.sequence, now);
    m_pendingQueries[query.sequence] = { now, replyTimeout };
    return { node.peerAddress, std::move(query) };
}

template<ManifestParser Parser>
fleet::LoadMap PeerSync<Parser>::loadsFor(const sync::NodeRecord& node, base::Instant now)
{
    if (isNeighbour(node))
        return m_role.isHub() ? fleet::LoadMap {} : m_fleet.localLoads();
    return m_role.isHub() ? filterLoads(dataCentreLoads(now), node.dataCentre) : fleet::LoadMap {};
}

// The load of this data centre is that of the hub itself and its neighbours.
template<ManifestParser Parser>
fleet::LoadMap PeerSync<Parser>::dataCentreLoads(base::Instant now)
{
    PeerLoadTable loads;
    loads.set("self", m_fleet.localLoads(), now);
    for (const auto& node : m_directory.liveNeighbours(now))
        loads.set(node.name.text, m_peerLoads.reportOf(node.name.text), now);
    return loads.sum(now);
}

template<ManifestParser Parser>
void PeerSync<Parser>::queryHub(OutgoingMessages& outgoing, base::Instant now)
{
    m_lastHubQuery = now;
    if (m_role.isHub()) {
        m_fleet.setPeerLoads(m_peerLoads.sum(now));
        return;
    }
    if (auto hub = m_directory.findHub(m_directory.self().dataCentre, now)) {
        recordAsked(*hub, hubQueryInterval, now);
        outgoing.push_back(makeQuery(*hub, m_fleet.localLoads(), now));
    }
}

template<ManifestParser Parser>
void PeerSync<Parser>::queryRemoteHubs(OutgoingMessages& outgoing, base::Instant now)
{
    m_lastRemoteQuery = now;
    if (!m_role.isHub())
        return;
    // At startup every node considers itself a hub until it receives messages from others.
    if (!hasState() && !m_directory.isFirstKnownNodeOfDataCentre())
        return;
    auto loads = dataCentreLoads(now);
    for (const auto& dataCentre : m_directory.otherDataCentres()) {
        if (auto hub = m_directory.findHub(dataCentre, now)) {
            recordAsked(*hub, remoteQueryInterval, now);
            outgoing.push_back(makeQuery(*hub, filterLoads(loads, dataCentre), now));
        }
    }
}

template<ManifestParser Parser>
void PeerSync<Parser>::querySilentNodes(OutgoingMessages& outgoing, base::Instant now)
{
    m_lastSilentNodeQuery = now;
    auto silent = m_directory.silentHubCandidates(now);
    bool mayQueryOtherDataCentres = m_role.isHub() && hasState();
    std::erase_if(silent, [&](const SilentNode& node) { return !isNeighbour(node.record) && !mayQueryOtherDataCentres; });
    auto neighbours = silentNeighboursToQuery(now);
    std::move(neighbours.begin(), neighbours.end(), std::back_inserter(silent));
    for (const auto& node : m_silentNodeRotation.next(std::move(silent)))
        outgoing.push_back(makeQuery(node, {}, now));
}

template<ManifestParser Parser>
std::vector<SilentNode> PeerSync<Parser>::silentNeighboursToQuery(base::Instant now) const
{
    if (!isAttentive(now))
        return {};
    auto silent = m_directory.neighboursSilentFor(removalAge / 2, m_attentiveSince, now);
    std::erase_if(silent, [&](const SilentNode& node) { return node.record.name < m_directory.self().name; });
    return silent;
}

template<ManifestParser Parser>
void PeerSync<Parser>::sendFailureNotice(OutgoingMessages& outgoing, const FailureNotice& notice, base::Instant now)
{
    const auto& from = notice.from;
    const auto& self = m_directory.self();
    std::vector<sync::NodeRecord> receivers;
    bool isHub = m_role.isHub();
    if (!isHub) {
        if (auto hub = m_directory.findHub(self.dataCentre, now); hub && from.name == self.name)
            receivers.push_back(*hub);
    } else {
        receivers = m_directory.liveNeighbours(now);
        // A notice from the hub of another data centre is not forwarded to further data centres, since that hub sends
        // it to them itself.
        if (isNeighbour(from)) {
            for (const auto& dataCentre : m_directory.otherDataCentres()) {
                if (auto hub = m_directory.findHub(dataCentre, now))
                    receivers.push_back(*hub);
            }
        }
    }
    for (const auto& node : receivers) {
        if (node.name != from.name)
            outgoing.push_back({ node.peerAddress, FailureNotice { self, notice.suspicions, notice.crashes, notice.parts, notice.clearances, notice.trials, notice.leaving } });
    }
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::handle(const Message& message, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return std::visit([&](const auto& body) { return receive(body, now); }, message);
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::receive(const StateQuery& received, base::Instant now)
{
    auto query = received;
    query.wantsFullState = mayIncludeFullState(received, now);
    m_directory.recordMessageFrom(query.from, now);
    learnEra(query, now);
    bool isSameDataCentre = isNeighbour(query.from);
    m_peerLoads.set(isSameDataCentre ? query.from.name.text : query.from.dataCentre.text, query.loads, now);
    StateReply reply;
    // Hubs rely on the leader, and the other nodes on their hub.
    reply.hasLostStore = m_role.hasLostStore() && (isSameDataCentre || m_role.isLeader());
    reply.sequence = query.sequence;
    reply.from = m_directory.self();
    auto manifest = m_manifest.state();
    if (manifest.index) {
        reply.manifestVersion = manifest.index->manifest().version;
        reply.manifestAge = now - manifest.confirmedAt;
        if (query.wantsFullState && reply.manifestVersion > query.manifestVersion && manifest.text)
            addManifestTo(query, manifest.text, reply);
    }
    if (auto snapshot = m_upstreamCache.snapshot()) {
        reply.listVersion = snapshot->list->version;
        reply.listAge = now - snapshot->confirmedAt;
        reply.missingEntryGrace = snapshot->missingEntryGrace;
        auto held = statedListVersion(query, snapshot);
        if (query.wantsState && reply.listVersion > held)
            addListTo(query, reply, held);
    }
    if (isSameDataCentre) {
        reply.loads = m_peerLoads.sum(now, query.from.name.text);
        for (const auto& [upstream, load] : m_fleet.localLoads())
            reply.loads[upstream] += load;
        reply.loads = filterLoads(reply.loads, query.from.dataCentre);
        reply.isDeputy = m_directory.isDeputy(query.from.name, now);
    }
    // The nodes share the retry limits, so each must know the number of nodes.
    if (query.nodeCount < m_directory.size())
        reply.nodes = m_directory.nodes();
    if (query.quarantineHash != m_crashes.parts.quarantineHash())
        reply.parts = m_crashes.parts.evidence();
    reply.quarantined = m_crashes.requests.quarantinedRequests(now);
    reply.clearances = m_crashes.requests.clearedRequests();
    if (query.wantsProbe)
        reply.probe = makeProbe(query.from.name);
    recordSentState(query, reply, now);
    logSentState(query, reply);
    OutgoingMessages outgoing { { query.from.peerAddress, std::move(reply) } };
    bool mayAskBack = m_role.isHub() && isSameDataCentre && now - m_lastNeighbourQuery >= hubQueryInterval;
    if (mayAskBack && (isNewerThanOwn(query, now) || lacksQuarantine(query))) {
        m_lastNeighbourQuery = now;
        outgoing.push_back(makeQuery(query.from, {}, now));
    }
    return outgoing;
}

template<ManifestParser Parser>
bool PeerSync<Parser>::isNewerThanOwn(const StateQuery& query, base::Instant now) const
{
    auto isNewer = [&](base::Duration theirAge, base::Instant ownConfirmedAt) { return theirAge < now - ownConfirmedAt - minFresherBy; };
    auto snapshot = m_upstreamCache.snapshot();
    bool hasNewerManifest = query.manifestVersion && isNewer(query.manifestAge, m_manifest.state().confirmedAt);
    bool hasNewerList = query.listVersion.revision && isNewer(query.listAge, snapshot ? snapshot->confirmedAt : base::Instant {});
    return hasNewerManifest || hasNewerList;
}

template<ManifestParser Parser>
bool PeerSync<Parser>::lacksQuarantine(const StateQuery& query) const
{
    return query.quarantineHash && query.quarantineHash != m_crashes.parts.quarantineHash();
}

template<ManifestParser Parser>
fleet::LoadMap PeerSync<Parser>::filterLoads(const fleet::LoadMap& loads, const base::DataCentreName& receiver)
{
    auto snapshot = m_upstreamCache.snapshot();
    auto filter = m_loadFilters.try_emplace(receiver, receiver).first;
    return filter->second.apply(loads, snapshot ? snapshot->list : nullptr);
}

// Replies repeat what the nodes know, so the time that they take must not make progress younger each time.
inline forward::PartReports withOlderClearances(forward::PartReports reports, base::Duration delay)
{
    for (auto& clearance : reports.clearances)
        clearance.progressAt -= delay;
    return reports;
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::receive(const StateReply& reply, base::Instant now)
{
    m_directory.recordMessageFrom(reply.from, now);
    auto pending = m_pendingQueries.extract(reply.sequence);
    logReceivedState(reply, pending.empty() ? std::nullopt : std::optional(now - pending.mapped().sentAt));
    if (pending.empty())
        return {};
    learnEra(reply, now);
    if (reply.hasLostStore)
        m_readerCutOffAt = now;
    auto queriedAt = pending.mapped().sentAt;
    m_fleet.recordPeerAnswer(now - queriedAt, now);
    recordUnaskedState(reply, pending.mapped());
    applyManifest(reply, queriedAt, now);
    applyList(reply, queriedAt);
    m_stateTransfer.recordOffer(reply.sequence, reply.from.name, { reply.manifestVersion, reply.listVersion });
    m_stateTransfer.recordReply(reply.sequence, carriesState(reply), now - queriedAt);
    recordProbe(reply, queriedAt, now);
    for (const auto& request : reply.quarantined)
        m_crashes.requests.applyQuarantine(request);
    for (const auto& clearance : reply.clearances)
        m_crashes.requests.applyClearance(clearance);
    m_crashes.parts.apply(withOlderClearances(reply.parts, now - queriedAt), now);
    for (const auto& node : reply.nodes)
        m_directory.add(node, now);
    if (isNeighbour(reply.from) && !m_role.isHub() && !pending.mapped().isLinkCheck) {
        m_fleet.setPeerLoads(reply.loads);
        m_role.setDeputy(reply.isDeputy);
    }
    OutgoingMessages outgoing;
    if (lacksStateOf(reply, now) && !isAwaitingState(now))
        outgoing.push_back(makeFullStateQuery(reply, now));
    return outgoing;
}

template<ManifestParser Parser>
OutgoingMessages PeerSync<Parser>::receive(const FailureNotice& notice, base::Instant now)
{
    m_directory.recordMessageFrom(notice.from, now);
    auto recent = notice;
    auto isOld = [&](base::Instant at) { return now - at >= failureNoticeLifetime; };
    std::erase_if(recent.suspicions, [&](const fleet::SuspicionReport& suspicion) { return isOld(suspicion.detectedAt); });
    std::erase_if(recent.crashes, [&](const forward::CrashReport& crash) { return isOld(crash.lostAt); });
    std::erase_if(recent.clearances, [&](const forward::RequestClearance& clearance) { return isOld(clearance.progressAt); });
    std::erase_if(recent.trials, [&](const forward::RequestTrial& trial) { return isOld(trial.startedAt); });
    std::erase_if(recent.parts.crashes, [&](const forward::PartCrash& crash) { return isOld(crash.lostAt); });
    // Clearances are kept, since progress speaks for a part for longer.
    std::erase_if(recent.parts.trials, [&](const forward::PartTrial& trial) { return isOld(trial.startedAt); });
    for (const auto& suspicion : recent.suspicions)
        m_fleet.applySuspicionReport(suspicion);
    for (const auto& report : recent.leaving)
        m_fleet.applyLeavingReport(report, now);
    m_crashes.parts.apply(recent.parts, now);
    for (const auto& crash : recent.crashes)
        m_crashes.requests.applyReport(crash);
    for (const auto& clearance : recent.clearances)
        m_crashes.requests.applyClearance(clearance);
    for (const auto& trial : recent.trials)
        m_crashes.requests.applyTrial(trial);
    OutgoingMessages outgoing;
    if (m_role.isHub() && !recent.isEmpty())
        sendFailureNotice(outgoing, recent, now);
    return outgoing;
}

} // namespace redwingseam::replication
