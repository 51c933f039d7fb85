#pragma once

#include "log/LogLine.h"
#include "peering/PeerSync.h"

#include <glog/logging.h>
#include <mutex>
#include <utility>

namespace redwingseam::peering {

template<ManifestParser Parser>
PeerSync<Parser>::PeerSync(sync::NodeRecord self, fleet::Fleet& fleet, forward::CrashRegister& crashes, manifest::ManifestHolder& manifest, sync::UpstreamBoard& board, sync::FollowRule& follow)
    : m_fleet(fleet)
    , m_crashes(crashes)
    , m_manifest(manifest)
    , m_board(board)
    , m_follow(follow)
    , m_directory(std::move(self))
{
}

template<ManifestParser Parser>
void PeerSync<Parser>::setNodes(const std::vector<sync::NodeRecord>& nodes)
{
    std::lock_guard guard(m_mutex);
    m_directory.setNodes(nodes, m_lastTick);
    if (std::exchange(m_hasNodes, true))
        return;
    m_neighboursAsked = {};
    m_remoteAsked = {};
    m_silentAsked = {};
}

template<ManifestParser Parser>
bool PeerSync<Parser>::isFirst()
{
    std::lock_guard guard(m_mutex);
    return m_directory.isFirst();
}

template<ManifestParser Parser>
void PeerSync<Parser>::updateRole(base::Instant now)
{
    m_fleet.setNodeCount(static_cast<uint32_t>(m_directory.size()));
    bool isHub = m_directory.isHub(now);
    bool isLeader = m_directory.isLeader(now);
    if (isHub == m_follow.isHub() && isLeader == m_follow.isLeader())
        return;
    m_follow.setHub(isHub);
    m_follow.setLeader(isLeader);
    auto hub = m_directory.hubOf(m_directory.self().dataCentre, now);
    LOG(INFO) << log::LogLine("hub_changed").with("hub", hub ? hub->name.text : std::string()).with("is_self", isHub ? "yes" : "no").with("is_leader", isLeader ? "yes" : "no").text();
}

template<ManifestParser Parser>
OutgoingList PeerSync<Parser>::tick(base::Instant now)
{
    std::lock_guard guard(m_mutex);
    NewsMessage news { m_directory.self(), m_fleet.takeNews(), m_crashes.takeReports() };
    OutgoingList outgoing;
    m_lastTick = now;
    updateRole(now);
    std::erase_if(m_asked, [&](const auto& item) { return now - item.second > replyTimeout; });
    m_loads.dropOld(now);
    if (!news.isEmpty())
        sendNews(outgoing, news, now);
    if (now - m_neighboursAsked >= (isInformed() ? neighbourInterval : firstInterval))
        queryNeighbours(outgoing, now);
    if (now - m_remoteAsked >= remoteInterval)
        queryRemote(outgoing, now);
    if (now - m_silentAsked >= silentInterval)
        querySilent(outgoing, now);
    return outgoing;
}

template<ManifestParser Parser>
Outgoing PeerSync<Parser>::queryTo(const sync::NodeRecord& node, fleet::LoadMap loads, base::Instant now)
{
    StateQuery query;
    query.sequence = ++m_sequence;
    query.from = m_directory.self();
    auto manifest = m_manifest.state();
    query.manifestVersion = manifest.index ? manifest.index->manifest().version : 0;
    auto listing = m_board.listing();
    query.listRevision = listing ? listing->list->revision : 0;
    query.loads = std::move(loads);
    query.wantsState = asksForState(node, now);
    query.nodeCount = m_directory.size();
    m_asked[query.sequence] = now;
    return { node.peerAddress, std::move(query) };
}

template<ManifestParser Parser>
bool PeerSync<Parser>::asksForState(const sync::NodeRecord& node, base::Instant now)
{
    if (isInformed())
        return true;
    // A node that knows nothing would get all of it from each that it asks.
    bool isWaiting = now - m_stateAsked < firstInterval;
    if (isWaiting || (m_directory.isAnyHeard(now) && !m_directory.isHeard(node.name, now)))
        return false;
    m_stateAsked = now;
    return true;
}

template<ManifestParser Parser>
void PeerSync<Parser>::queryNeighbours(OutgoingList& outgoing, base::Instant now)
{
    m_neighboursAsked = now;
    if (m_follow.isHub()) {
        m_fleet.setOthers(m_loads.sum(now));
        return;
    }
    if (auto hub = m_directory.hubOf(m_directory.self().dataCentre, now))
        outgoing.push_back(queryTo(*hub, m_fleet.ownLoads(), now));
}

template<ManifestParser Parser>
void PeerSync<Parser>::queryRemote(OutgoingList& outgoing, base::Instant now)
{
    m_remoteAsked = now;
    if (!m_follow.isHub())
        return;
    // All nodes take themselves for hubs until they have heard of others.
    if (!isInformed() && !m_directory.isFirstOfDataCentre())
        return;
    // What this data centre has booked: the hub itself and its neighbours.
    LoadBoard inside;
    inside.set("self", m_fleet.ownLoads(), now);
    for (const auto& node : m_directory.liveNeighbours(now))
        inside.set(node.name.text, m_loads.of(node.name.text), now);
    auto loads = inside.sum(now);
    for (const auto& dataCentre : m_directory.otherDataCentres()) {
        if (auto hub = m_directory.hubOf(dataCentre, now))
            outgoing.push_back(queryTo(*hub, scoped(loads, dataCentre), now));
    }
}

template<ManifestParser Parser>
void PeerSync<Parser>::querySilent(OutgoingList& outgoing, base::Instant now)
{
    m_silentAsked = now;
    for (const auto& node : m_directory.silentBetterNodes(now)) {
        if (isNeighbour(node) || (m_follow.isHub() && isInformed()))
            outgoing.push_back(queryTo(node, {}, now));
    }
}

template<ManifestParser Parser>
void PeerSync<Parser>::sendNews(OutgoingList& outgoing, const NewsMessage& message, base::Instant now)
{
    const auto& from = message.from;
    const auto& self = m_directory.self();
    std::vector<sync::NodeRecord> receivers;
    bool isHub = m_follow.isHub();
    if (!isHub) {
        if (auto hub = m_directory.hubOf(self.dataCentre, now); hub && from.name == self.name)
            receivers.push_back(*hub);
    } else {
        receivers = m_directory.liveNeighbours(now);
        // What another data centre's hub told is not passed to further data centres; it tells them itself.
        if (isNeighbour(from)) {
            for (const auto& dataCentre : m_directory.otherDataCentres()) {
                if (auto hub = m_directory.hubOf(dataCentre, now))
                    receivers.push_back(*hub);
            }
        }
    }
    for (const auto& node : receivers) {
        if (node.name != from.name)
            outgoing.push_back({ node.peerAddress, NewsMessage { self, message.news, message.crashes } });
    }
}

template<ManifestParser Parser>
OutgoingList PeerSync<Parser>::handle(const Message& message, base::Instant now)
{
    std::lock_guard guard(m_mutex);
    return std::visit([&](const auto& body) { return take(body, now); }, message);
}

template<ManifestParser Parser>
OutgoingList PeerSync<Parser>::take(const StateQuery& query, base::Instant now)
{
    m_directory.noteHeard(query.from, now);
    bool isInside = isNeighbour(query.from);
    m_loads.set(isInside ? query.from.name.text : query.from.dataCentre.text, query.loads, now);
    StateReply reply;
    reply.sequence = query.sequence;
    reply.from = m_directory.self();
    auto manifest = m_manifest.state();
    if (manifest.index) {
        reply.manifestVersion = manifest.index->manifest().version;
        reply.manifestAge = now - manifest.confirmedAt;
        if (query.wantsState && reply.manifestVersion > query.manifestVersion && manifest.text)
            reply.manifestText = *manifest.text;
    }
    if (auto listing = m_board.listing()) {
        reply.listRevision = listing->list->revision;
        reply.listAge = now - listing->readAt;
        reply.missingGrace = listing->missingGrace;
        if (query.wantsState && reply.listRevision > query.listRevision)
            tellList(query, reply);
    }
    if (isInside) {
        reply.loads = m_loads.sum(now, query.from.name.text);
        for (const auto& [upstream, load] : m_fleet.ownLoads())
            reply.loads[upstream] += load;
        reply.loads = scoped(reply.loads, query.from.dataCentre);
    }
    // The nodes share the retry limits, so each must know how many there are.
    if (query.nodeCount < m_directory.size())
        reply.nodes = m_directory.nodes();
    reply.quarantined = m_crashes.quarantined(now);
    return { { query.from.peerAddress, std::move(reply) } };
}

template<ManifestParser Parser>
void PeerSync<Parser>::tellList(const StateQuery& query, StateReply& reply)
{
    reply.changes = m_board.changesSince(query.listRevision);
    // A list that came in the meantime is told at the next query.
    if (reply.changes && reply.changes->toRevision != reply.listRevision)
        reply.changes.reset();
    if (!reply.changes)
        reply.list = *m_board.listing()->list;
    if (reply.list)
        reply.listRevision = reply.list->revision;
}

template<ManifestParser Parser>
fleet::LoadMap PeerSync<Parser>::scoped(const fleet::LoadMap& loads, const base::DataCentreName& receiver)
{
    auto listing = m_board.listing();
    auto scope = m_scopes.try_emplace(receiver, receiver).first;
    return scope->second.of(loads, listing ? listing->list : nullptr);
}

template<ManifestParser Parser>
OutgoingList PeerSync<Parser>::take(const StateReply& reply, base::Instant now)
{
    m_directory.noteHeard(reply.from, now);
    auto asked = m_asked.extract(reply.sequence);
    if (asked.empty())
        return {};
    takeManifest(reply, asked.mapped());
    takeList(reply, asked.mapped());
    for (const auto& request : reply.quarantined)
        m_crashes.applyQuarantine(request);
    for (const auto& node : reply.nodes)
        m_directory.add(node);
    if (isNeighbour(reply.from) && !m_follow.isHub())
        m_fleet.setOthers(reply.loads);
    return {};
}

template<ManifestParser Parser>
void PeerSync<Parser>::takeManifest(const StateReply& reply, base::Instant asked)
{
    if (!reply.manifestVersion)
        return;
    auto confirmedAt = asked - reply.manifestAge;
    if (reply.manifestText.empty()) {
        m_manifest.confirmUnchanged(reply.manifestVersion, confirmedAt);
        return;
    }
    auto manifest = Parser::parse(reply.manifestText);
    if (!manifest) {
        LOG(WARNING) << log::LogLine("peer_manifest_unreadable").with("from", reply.from.name.text).with("detail", manifest.error().detail).text();
        return;
    }
    if (m_manifest.confirm(std::move(manifest.value()), reply.manifestText, confirmedAt))
        LOG(INFO) << log::LogLine("manifest_in_force").with("version", reply.manifestVersion).with("from", reply.from.name.text).text();
}

// A node that was cut off by itself takes its own outage for the store's, and tells a grace for entries that lapsed.
template<ManifestParser Parser>
base::Duration PeerSync<Parser>::graceOf(const StateReply& reply, const std::optional<sync::UpstreamListing>& held, base::Instant asked)
{
    bool sawNoOutage = held && asked - held->readAt < shortestLapse;
    return sawNoOutage ? std::min(reply.missingGrace, held->missingGrace) : reply.missingGrace;
}

template<ManifestParser Parser>
void PeerSync<Parser>::takeList(const StateReply& reply, base::Instant asked)
{
    auto readAt = asked - reply.listAge;
    auto held = m_board.listing();
    std::shared_ptr<const sync::UpstreamList> list;
    if (reply.list)
        list = std::make_shared<const sync::UpstreamList>(*reply.list);
    else if (reply.changes && held && held->list->revision == reply.changes->fromRevision)
        list = std::make_shared<const sync::UpstreamList>(applyDelta(*held->list, *reply.changes));
    else if (held && held->list->revision == reply.listRevision)
        list = held->list;
    auto grace = graceOf(reply, held, asked);
    if (list && m_board.post({ list, readAt, grace }))
        m_fleet.update(list->upstreams, readAt, grace);
}

template<ManifestParser Parser>
OutgoingList PeerSync<Parser>::take(const NewsMessage& message, base::Instant now)
{
    m_directory.noteHeard(message.from, now);
    NewsMessage fresh { message.from };
    for (const auto& news : message.news) {
        if (now - news.at < newsLifetime)
            fresh.news.push_back(news);
    }
    for (const auto& crash : message.crashes) {
        if (now - crash.endedAt < newsLifetime)
            fresh.crashes.push_back(crash);
    }
    for (const auto& news : fresh.news)
        m_fleet.applyNews(news);
    for (const auto& crash : fresh.crashes)
        m_crashes.applyReport(crash);
    OutgoingList outgoing;
    if (m_follow.isHub() && !fresh.isEmpty())
        sendNews(outgoing, fresh, now);
    return outgoing;
}

} // namespace redwingseam::peering
