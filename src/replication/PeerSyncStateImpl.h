#pragma once

// The part of a PeerSync that sends, requests and takes over the manifest and the list of upstreams.

#include "base/Compression.h"
#include "log/LogLine.h"
#include "replication/PeerSync.h"

#include <glog/logging.h>
#include <utility>

namespace redwingseam::replication {

inline bool carriesManifest(const StateReply& reply)
{
    return !reply.manifestText.empty() || reply.compressedManifest;
}

inline bool carriesState(const StateReply& reply)
{
    return carriesManifest(reply) || reply.list;
}

inline size_t manifestBytes(const StateReply& reply)
{
    return reply.compressedManifest ? reply.compressedManifest->size() : reply.manifestText.size();
}

inline size_t approximateBytes(const StateReply& reply)
{
    static constexpr size_t bytesPerUpstream = 128;
    return manifestBytes(reply) + (reply.list ? reply.list->upstreams.size() * bytesPerUpstream : 0);
}

inline log::LogLine stateLine(const char* event, const char* peerField, const sync::NodeRecord& peer, const StateReply& reply)
{
    log::LogLine line(event);
    line.with(peerField, peer.name.text).with("query", reply.sequence).with("manifest_version", reply.manifestVersion).with("manifest_bytes", manifestBytes(reply));
    line.with("upstreams", reply.list ? reply.list->upstreams.size() : 0);
    return line;
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
    query.wantsProbe = false;
    m_pendingQueries[query.sequence] = { now, StateTransfer::maxTimeout, true };
    m_stateTransfer.begin(query.sequence, node.name, { reply.manifestVersion, reply.listVersion }, now);
    return message;
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
    if (query.wantsFullState)
        m_sentStates[query.from.name] = { query.sequence, approximateBytes(reply) };
}

template<ManifestParser Parser>
LinkProbe PeerSync<Parser>::makeProbe(const base::VmName& receiver) const
{
    auto sent = m_sentStates.find(receiver);
    auto state = sent == m_sentStates.end() ? SentState {} : sent->second;
    return { state.sequence, state.bytes, std::string(LinkProbe::paddingBytes, ' ') };
}

template<ManifestParser Parser>
void PeerSync<Parser>::recordProbe(const StateReply& reply, base::Instant queriedAt, base::Instant now)
{
    if (!reply.probe || !m_stateTransfer.recordProbe(reply.sequence, *reply.probe, now - queriedAt, now))
        return;
    auto probeMillis = std::chrono::duration_cast<std::chrono::milliseconds>(now - queriedAt).count();
    LOG(WARNING) << log::LogLine("peer_state_lost").with("from", reply.from.name.text).with("state_query", reply.probe->stateSequence).with("state_bytes", reply.probe->stateBytes).with("probe_ms", static_cast<uint64_t>(probeMillis)).text();
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

} // namespace redwingseam::replication
