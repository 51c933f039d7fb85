#pragma once

#include "fleet/Fleet.h"
#include "forward/CrashRegister.h"
#include "manifest/ManifestHolder.h"
#include "redwingseam/base/Result.h"
#include "replication/Directory.h"
#include "replication/LoadBoard.h"
#include "replication/LoadScope.h"
#include "replication/Outgoing.h"
#include "sync/FollowRule.h"
#include "sync/UpstreamBoard.h"

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
    PeerSync(sync::NodeRecord self, fleet::Fleet&, forward::CrashRegister&, manifest::ManifestHolder&, sync::UpstreamBoard&, sync::FollowRule&);

    // The first list makes the node ask the others at its next tick.
    void setNodes(const std::vector<sync::NodeRecord>&);
    // Whether no known node goes before this one, so that none need be asked before the store is.
    bool isFirst();
    // Called every `tickInterval`.
    OutgoingList tick(base::Instant now);
    OutgoingList handle(const Message&, base::Instant now);

    static constexpr base::Duration tickInterval = std::chrono::milliseconds(50);

private:
    static constexpr base::Duration neighbourInterval = std::chrono::milliseconds(250);
    // Bytes between data centres are billed.
    static constexpr base::Duration remoteInterval = std::chrono::milliseconds(500);
    // Until the node is informed; a reply of the hub takes some milliseconds.
    static constexpr base::Duration firstInterval = std::chrono::milliseconds(100);
    static constexpr base::Duration silentInterval = std::chrono::milliseconds(2000);
    // A reply that comes later tells nothing that the next one does not.
    static constexpr base::Duration replyTimeout = std::chrono::milliseconds(2000);
    // Entries lapse after some heartbeats only, so none did since a list that was read later than this.
    static constexpr base::Duration shortestLapse = std::chrono::milliseconds(2400);
    static constexpr base::Duration newsLifetime = std::chrono::milliseconds(1000);

    OutgoingList take(const StateQuery&, base::Instant now);
    OutgoingList take(const StateReply&, base::Instant now);
    OutgoingList take(const NewsMessage&, base::Instant now);
    void takeManifest(const StateReply&, base::Instant asked);
    void takeList(const StateReply&, base::Instant asked);
    static base::Duration graceOf(const StateReply&, const std::optional<sync::UpstreamListing>& held, base::Instant asked);
    void tellList(const StateQuery&, StateReply&);
    fleet::LoadMap scoped(const fleet::LoadMap&, const base::DataCentreName& receiver);
    void queryNeighbours(OutgoingList&, base::Instant now);
    void queryRemote(OutgoingList&, base::Instant now);
    void querySilent(OutgoingList&, base::Instant now);
    // Passes on the news of `message.from`.
    void sendNews(OutgoingList&, const NewsMessage&, base::Instant now);
    Outgoing queryTo(const sync::NodeRecord&, fleet::LoadMap loads, base::Instant now);
    // Whether this node knows both a manifest and a list.
    bool isInformed() const { return m_manifest.state().index && m_board.listing(); }
    bool asksForState(const sync::NodeRecord&, base::Instant now);
    bool isNeighbour(const sync::NodeRecord& node) const { return node.dataCentre == m_directory.self().dataCentre; }
    void updateRole(base::Instant now);

    fleet::Fleet& m_fleet;
    forward::CrashRegister& m_crashes;
    manifest::ManifestHolder& m_manifest;
    sync::UpstreamBoard& m_board;
    sync::FollowRule& m_follow;
    base::Mutex m_mutex;
    Directory m_directory;
    LoadBoard m_loads;
    std::map<base::DataCentreName, LoadScope> m_scopes;
    uint64_t m_sequence = 0;
    std::map<uint64_t, base::Instant> m_asked;
    base::Instant m_lastTick {};
    base::Instant m_neighboursAsked {};
    base::Instant m_remoteAsked {};
    base::Instant m_silentAsked {};
    base::Instant m_stateAsked {};
    bool m_hasNodes = false;
};

} // namespace redwingseam::replication

#include "replication/PeerSyncImpl.h"
