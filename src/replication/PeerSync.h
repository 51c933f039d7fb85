#pragma once

#include "fleet/Fleet.h"
#include "forward/CrashRegister.h"
#include "manifest/ManifestHolder.h"
#include "redwingseam/base/Result.h"
#include "replication/LoadFilter.h"
#include "replication/NodeDirectory.h"
#include "replication/OutgoingMessage.h"
#include "replication/PeerLoadTable.h"
#include "sync/NodeRole.h"
#include "sync/UpstreamListCache.h"

#include <concepts>
#include <map>

namespace redwingseam::replication {

// Reads the store's text of a manifest.
template<typename T>
concept ManifestParser = requires(const std::string& text)
{
    {
        T::parse(text)
        } -> std::same_as<base::Result<manifest::Manifest>>;
};

// What nodes tell each other: the manifest and the list of upstreams with their ages, booked work, and
// upstreams that seem down, requests that upstreams broke under. Nodes of a data centre ask its hub; hubs ask each other. Without I/O: returns
// the messages to be sent. Thread-safe.
//
// An age counts from the moment at which the asking node sent its query, so a reply that was delayed makes
// what it tells older, never younger.
template<ManifestParser Parser>
class PeerSync {
public:
    PeerSync(sync::NodeRecord self, fleet::Fleet&, forward::CrashRegister&, manifest::ManifestHolder&, sync::UpstreamListCache&, sync::NodeRole&);

    // The first list makes the node ask the others at its next tick.
    void setNodes(const std::vector<sync::NodeRecord>&);
    // Whether no known node goes before this one, so that none need be asked before the store is.
    bool isFirstKnownNode();
    // Called every `tickInterval`.
    OutgoingMessages tick(base::Instant now);
    OutgoingMessages handle(const Message&, base::Instant now);

    static constexpr base::Duration tickInterval = std::chrono::milliseconds(50);

private:
    static constexpr base::Duration hubQueryInterval = std::chrono::milliseconds(250);
    // Bytes between data centres are billed.
    static constexpr base::Duration remoteQueryInterval = std::chrono::milliseconds(500);
    // Until the node is informed; a reply of the hub takes some milliseconds.
    static constexpr base::Duration startupQueryInterval = std::chrono::milliseconds(100);
    static constexpr base::Duration silentNodeQueryInterval = std::chrono::milliseconds(2000);
    // A reply that comes later tells nothing that the next one does not.
    static constexpr base::Duration replyTimeout = std::chrono::milliseconds(2000);
    // Entries lapse after some heartbeats only, so none did since a list that was read later than this.
    static constexpr base::Duration maxListAgeWithoutExpiry = std::chrono::milliseconds(2400);
    static constexpr base::Duration failureNoticeLifetime = std::chrono::milliseconds(1000);

    OutgoingMessages receive(const StateQuery&, base::Instant now);
    OutgoingMessages receive(const StateReply&, base::Instant now);
    OutgoingMessages receive(const FailureNotice&, base::Instant now);
    void applyManifest(const StateReply&, base::Instant queriedAt);
    void applyList(const StateReply&, base::Instant queriedAt);
    static base::Duration missingGraceFor(const StateReply&, const std::optional<sync::UpstreamSnapshot>& current, base::Instant queriedAt);
    void addListTo(const StateQuery&, StateReply&);
    fleet::LoadMap filterLoads(const fleet::LoadMap&, const base::DataCentreName& receiver);
    void queryHub(OutgoingMessages&, base::Instant now);
    void queryRemoteHubs(OutgoingMessages&, base::Instant now);
    void querySilentNodes(OutgoingMessages&, base::Instant now);
    // Passes on the news of `message.from`.
    void sendFailureNotice(OutgoingMessages&, const FailureNotice&, base::Instant now);
    OutgoingMessage makeQuery(const sync::NodeRecord&, fleet::LoadMap loads, base::Instant now);
    // Whether this node knows both a manifest and a list.
    bool hasState() const { return m_manifest.state().index && m_upstreamCache.snapshot(); }
    bool shouldRequestState(const sync::NodeRecord&, base::Instant now);
    bool isNeighbour(const sync::NodeRecord& node) const { return node.dataCentre == m_directory.self().dataCentre; }
    void updateRole(base::Instant now);

    fleet::Fleet& m_fleet;
    forward::CrashRegister& m_crashes;
    manifest::ManifestHolder& m_manifest;
    sync::UpstreamListCache& m_upstreamCache;
    sync::NodeRole& m_role;
    base::Mutex m_mutex;
    NodeDirectory m_directory;
    PeerLoadTable m_peerLoads;
    std::map<base::DataCentreName, LoadFilter> m_loadFilters;
    uint64_t m_sequence = 0;
    std::map<uint64_t, base::Instant> m_pendingQueries;
    base::Instant m_lastTick {};
    base::Instant m_lastHubQuery {};
    base::Instant m_lastRemoteQuery {};
    base::Instant m_lastSilentNodeQuery {};
    base::Instant m_lastStateRequest {};
    bool m_hasNodeList = false;
};

} // namespace redwingseam::replication

#include "replication/PeerSyncImpl.h"
