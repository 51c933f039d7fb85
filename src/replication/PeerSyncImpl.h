#pragma once

#include "base/Compression.h"
#include "log/LogLine.h"
#include "replication/PeerSync.h"

#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace redwingseam::replication {

template<ManifestParser Parser>
PeerSync<Parser>::PeerSync(sync::NodeRecord self, fleet::Fleet& fleet, forward::CrashEvidence& crashes, manifest::ManifestHolder& manifest, sync::UpstreamListCache& upstreamCache, sync::NodeRole& role, sync::StoreEra& era)
    : m_fleet(fleet)
    , m_crashes(crashes)
    , m_manifest(manifest)
    , m_upstreamCache(upstreamCache)
    , m_role(role)
    , m_era(era)
    , m_directory(std::move(self))
{
}

inline bool carriesManifest(const StateReply& reply)
{
    return !reply.manifestText.empty() || reply.compressedManifest;
}

inline bool carriesState(const StateReply& reply)
{
    return carriesManifest(reply) || reply.list;
}

inline log::LogLine stateLine(const char* event, const char* peerField, const sync::NodeRecord& peer, const StateReply& reply)
{
    log::LogLine line(event);
    line.with(peerField, peer.name.text).with("query", reply.sequence).with("manifest_version", reply.manifestVersion).with("manifest_bytes", reply.compressedManifest ? reply.compressedManifest->size() : reply.manifestText.size());
    line.with("upstreams", reply.list ? reply.list->upstreams.size() : 0);
    return line;
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
void PeerSync<Parser>::updateRole(base::Instant now)
{
    m_fleet.setNodeCount(static_cast<uint32_t>(m_directory.size()));
    m_crashes.setPosition(m_directory.position(), static_cast<uint32_t>(m_directory.size()));
    bool isHub = m_directory.isHub(now);
    bool isLeader = m_directory.isLeader(now);
    if (isHub == m_role.isHub() && isLeader == m_role.isLeader())
        return;
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
    m_lastTick = now;
    updateRole(now);
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
    query.nodeCount = m_directory.size();
    query.quarantineHash = m_crashes.parts.quarantineHash();
    query.wantsState = !m_unaskedSenders.count(node.name);
    m_pendingQueries[query.sequence] = { now, replyTimeout };
    return { node.peerAddress, std::move(query) };
}

template<ManifestParser Parser>
OutgoingMessage PeerSync<Parser>::makeFullStateQuery(const StateReply& reply, base::Instant now)
{
    const auto& node = reply.from;
    auto message = makeQuery(node, loadsFor(node, now), now);
    auto& query = std::get<StateQuery>(message.message);
    query.manifestVersion = manifestVersionNotLacking(now);
    query.wantsState = true;
    query.wantsFullState = true;
    query.acceptsCompression = true;
    m_pendingQueries[query.sequence] = { now, StateTransfer::maxTimeout, true };
    m_stateTransfer.begin(query.sequence, node.name, { reply.manifestVersion, reply.listVersion }, now);
    return message;
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
    if (auto hub = m_directory.findHub(m_directory.self().dataCentre, now))
        outgoing.push_back(makeQuery(*hub, m_fleet.localLoads(), now));
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
        if (auto hub = m_directory.findHub(dataCentre, now))
            outgoing.push_back(makeQuery(*hub, filterLoads(loads, dataCentre), now));
    }
}

template<ManifestParser Parser>
void PeerSync<Parser>::querySilentNodes(OutgoingMessages& outgoing, base::Instant now)
{
    m_lastSilentNodeQuery = now;
    for (const auto& node : m_directory.silentHubCandidates(now)) {
        if (isNeighbour(node) || (m_role.isHub() && hasState()))
            outgoing.push_back(makeQuery(node, {}, now));
    }
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
bool PeerSync<Parser>::mayIncludeFullState(const StateQuery& query, base::Instant now)
{
    auto sent = m_stateToOlderNodes.find(query.from.name);
    return query.wantsFullState && (query.acceptsCompression || sent == m_stateToOlderNodes.end() || !sent->second.covers(query, now));
}

template<ManifestParser Parser>
void PeerSync<Parser>::recordSentState(const StateQuery& query, const StateReply& reply, base::Instant now)
{
    if (query.acceptsCompression)
        m_stateToOlderNodes.erase(query.from.name);
    else if (carriesState(reply))
        m_stateToOlderNodes[query.from.name].record(query, reply, now);
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
void PeerSync<Parser>::addManifestTo(const StateQuery& query, const std::shared_ptr<const std::string>& text, StateReply& reply)
{
    if (!query.acceptsCompression) {
        reply.manifestText = *text;
        return;
    }
    if (m_compressedText != text) {
        m_compressedManifest = std::make_shared<const std::string>(base::compress(*text));
        m_compressedText = text;
    }
    reply.compressedManifest = m_compressedManifest;
}

template<ManifestParser Parser>
template<typename Body>
sync::StoreVersion PeerSync<Parser>::statedListVersion(const Body& message, const std::optional<sync::UpstreamSnapshot>& current)
{
    auto version = message.listVersion;
    if (!message.hasEra && current)
        version.era = current->list->version.era;
    return version;
}

template<ManifestParser Parser>
template<typename Body>
void PeerSync<Parser>::learnEra(const Body& message, base::Instant now)
{
    if (message.hasEra && message.listVersion.revision)
        m_era.learn(message.listVersion.era, now);
}

template<ManifestParser Parser>
void PeerSync<Parser>::addListTo(const StateQuery& query, StateReply& reply, sync::StoreVersion held)
{
    reply.delta = m_upstreamCache.deltaSince(held);
    // The cache may have received a newer list since `reply.listVersion` was read. The newer list is then sent in full
    // with its own version. The age remains that of the older list, so the receiver takes the newer one for older than
    // it is, which is safe.
    if (reply.delta && reply.delta->to != reply.listVersion)
        reply.delta.reset();
    if (!reply.delta && query.wantsFullState)
        reply.list = *m_upstreamCache.snapshot()->list;
    if (reply.list)
        reply.listVersion = reply.list->version;
}

template<ManifestParser Parser>
fleet::LoadMap PeerSync<Parser>::filterLoads(const fleet::LoadMap& loads, const base::DataCentreName& receiver)
{
    auto snapshot = m_upstreamCache.snapshot();
    auto filter = m_loadFilters.try_emplace(receiver, receiver).first;
    return filter->second.apply(loads, snapshot ? snapshot->list : nullptr);
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
    recordUnaskedState(reply, pending.mapped());
    applyManifest(reply, queriedAt, now);
    applyList(reply, queriedAt);
    m_stateTransfer.recordOffer(reply.sequence, reply.from.name, { reply.manifestVersion, reply.listVersion });
    m_stateTransfer.recordReply(reply.sequence, carriesState(reply), now - queriedAt);
    for (const auto& request : reply.quarantined)
        m_crashes.requests.applyQuarantine(request);
    for (const auto& clearance : reply.clearances)
        m_crashes.requests.applyClearance(clearance);
    m_crashes.parts.apply(reply.parts, now);
    for (const auto& node : reply.nodes)
        m_directory.add(node);
    if (isNeighbour(reply.from) && !m_role.isHub()) {
        m_fleet.setPeerLoads(reply.loads);
        m_role.setDeputy(reply.isDeputy);
    }
    OutgoingMessages outgoing;
    if (lacksStateOf(reply, now) && !isAwaitingState(now))
        outgoing.push_back(makeFullStateQuery(reply, now));
    return outgoing;
}

template<ManifestParser Parser>
void PeerSync<Parser>::recordUnaskedState(const StateReply& reply, const PendingQuery& query)
{
    if (reply.compressedManifest)
        m_unaskedSenders.erase(reply.from.name);
    else if (carriesState(reply) && !query.wantsFullState)
        m_unaskedSenders.insert(reply.from.name);
}

template<ManifestParser Parser>
bool PeerSync<Parser>::isAwaitingState(base::Instant now) const
{
    return m_stateTransfer.isInProgress(now, m_directory.isLive(m_stateTransfer.peer(), now));
}

template<ManifestParser Parser>
uint64_t PeerSync<Parser>::manifestVersionNotLacking(base::Instant now) const
{
    auto manifest = m_manifest.state();
    return std::max(manifest.index ? manifest.index->manifest().version : 0, m_unreadableManifest.versionToSkip(now));
}

template<ManifestParser Parser>
bool PeerSync<Parser>::lacksStateOf(const StateReply& reply, base::Instant now) const
{
    auto snapshot = m_upstreamCache.snapshot();
    bool lacksList = statedListVersion(reply, snapshot) > (snapshot ? snapshot->list->version : sync::StoreVersion {});
    return lacksList || reply.manifestVersion > manifestVersionNotLacking(now);
}

template<ManifestParser Parser>
void PeerSync<Parser>::logSentState(const StateQuery& query, const StateReply& reply)
{
    if (carriesState(reply))
        LOG(INFO) << stateLine("peer_state_sent", "to", query.from, reply).with("version_held", query.manifestVersion).text();
}

template<ManifestParser Parser>
void PeerSync<Parser>::logReceivedState(const StateReply& reply, std::optional<base::Duration> sinceQuery)
{
    if (!carriesState(reply))
        return;
    auto line = stateLine("peer_state_received", "from", reply.from, reply);
    if (sinceQuery)
        line.with("took_ms", static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(*sinceQuery).count()));
    LOG(INFO) << line.with("is_expired", sinceQuery ? "no" : "yes").text();
}

template<ManifestParser Parser>
std::optional<std::string> PeerSync<Parser>::manifestTextOf(const StateReply& reply)
{
    return reply.compressedManifest ? base::decompress(*reply.compressedManifest, maxManifestBytes) : reply.manifestText;
}

template<ManifestParser Parser>
void PeerSync<Parser>::recordUnreadableManifest(const StateReply& reply, const std::string& detail, base::Instant now)
{
    m_unreadableManifest.record(reply.manifestVersion, now);
    LOG(WARNING) << log::LogLine("peer_manifest_unreadable").with("from", reply.from.name.text).with("version", reply.manifestVersion).with("detail", detail).text();
}

template<ManifestParser Parser>
void PeerSync<Parser>::applyManifest(const StateReply& reply, base::Instant queriedAt, base::Instant now)
{
    if (!reply.manifestVersion)
        return;
    auto confirmedAt = queriedAt - reply.manifestAge;
    if (!carriesManifest(reply)) {
        m_manifest.confirmUnchanged(reply.manifestVersion, confirmedAt);
        return;
    }
    auto text = manifestTextOf(reply);
    if (!text) {
        recordUnreadableManifest(reply, "damaged compressed text", now);
        return;
    }
    auto manifest = Parser::parse(*text);
    if (!manifest) {
        recordUnreadableManifest(reply, manifest.error().detail, now);
        return;
    }
    if (m_manifest.update(std::move(manifest.value()), *std::move(text), confirmedAt))
        LOG(INFO) << log::LogLine("manifest_in_force").with("version", reply.manifestVersion).with("from", reply.from.name.text).text();
}

// A node that alone lost its connection to the store mistakes this for an outage of the store, and reports a grace
// period for entries that really expired. A receiver whose own list is recent limits the grace period to its own, except
// after a restore, which may remove entries at any time.
template<ManifestParser Parser>
base::Duration PeerSync<Parser>::missingEntryGraceFor(const StateReply& reply, const std::optional<sync::UpstreamSnapshot>& current, base::Instant queriedAt)
{
    bool isSameEra = current && statedListVersion(reply, current).era == current->list->version.era;
    bool isTooRecentForExpiry = isSameEra && queriedAt - current->confirmedAt < maxListAgeWithoutExpiry;
    return isTooRecentForExpiry ? std::min(reply.missingEntryGrace, current->missingEntryGrace) : reply.missingEntryGrace;
}

static inline bool isBaseOf(const sync::UpstreamDelta& delta, const sync::UpstreamList& list, bool hasEra)
{
    return delta.from.revision == list.version.revision && (!hasEra || delta.from.era == list.version.era);
}

template<ManifestParser Parser>
void PeerSync<Parser>::applyList(const StateReply& reply, base::Instant queriedAt)
{
    auto confirmedAt = queriedAt - reply.listAge;
    auto current = m_upstreamCache.snapshot();
    auto version = statedListVersion(reply, current);
    std::shared_ptr<const sync::UpstreamList> list;
    if (reply.list)
        list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { version, reply.list->upstreams });
    else if (reply.delta && current && isBaseOf(*reply.delta, *current->list, reply.hasEra))
        list = std::make_shared<const sync::UpstreamList>(sync::UpstreamList { version, applyDelta(*current->list, *reply.delta).upstreams });
    else if (current && current->list->version == version)
        list = current->list;
    auto grace = missingEntryGraceFor(reply, current, queriedAt);
    if (list && m_upstreamCache.update({ list, confirmedAt, grace }))
        m_fleet.update(list->upstreams, confirmedAt, grace);
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
    std::erase_if(recent.parts.clearances, [&](const forward::PartClearance& clearance) { return isOld(clearance.progressAt); });
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
