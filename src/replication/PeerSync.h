#pragma once

#include "fleet/Fleet.h"
#include "forward/CrashEvidence.h"
#include "manifest/ManifestHolder.h"
#include "origin/StreamOrigins.h"
#include "redwingseam/base/Result.h"
#include "replication/ListCheck.h"
#include "replication/LoadFilter.h"
#include "replication/NodeDirectory.h"
#include "replication/OutgoingMessage.h"
#include "replication/PeerLoadTable.h"
#include "replication/PendingQuery.h"
#include "replication/SentState.h"
#include "replication/SilentNodeRotation.h"
#include "replication/StateOnItsWay.h"
#include "replication/StateTransfer.h"
#include "replication/UnreadableManifest.h"
#include "sync/NodeRole.h"
#include "sync/StoreEra.h"
#include "sync/UpstreamListCache.h"

#include <concepts>
#include <map>
#include <optional>
#include <set>

namespace redwingseam::replication {

// Parses a manifest in the text format of the store.
template<typename T>
concept ManifestParser = requires(const std::string& text)
{
    {
        T::parse(text)
        } -> std::same_as<base::Result<manifest::Manifest>>;
};

// Replicates state between gateway nodes: the manifest and the list of upstreams with their ages, the load of each
// upstream, suspected upstreams, and requests during which upstreams crashed. The nodes of a data centre query its hub,
// and hubs query each other. Performs no I/O, but returns the messages to send. Thread-safe.
//
// A peer is any other node, a neighbour is a peer in the same data centre, and a remote hub is the hub of another data
// centre.
//
// Ages in a reply count from the time at which the receiver sent its query, so a delayed reply makes the received state
// older, never younger.
template<ManifestParser Parser>
class PeerSync {
public:
    PeerSync(sync::NodeRecord self, fleet::Fleet&, forward::CrashEvidence&, origin::StreamOrigins&, manifest::ManifestHolder&, sync::UpstreamListCache&, sync::NodeRole&, sync::StoreEra&);

    // Sets the store's list of nodes. After the first list, the node queries the others at its next tick.
    void setNodes(const std::vector<sync::NodeRecord>&);
    // Returns whether this node precedes all known nodes, so that it need not wait for others before it queries the
    // store.
    bool isFirstKnownNode();
    // Returns the nodes of this data centre that are taken for gone, so that their entries are to be deleted. A hub tells, after
    // it has heard from other nodes all the time but not from these, though it queried them.
    std::vector<sync::NodeRecord> goneNodes();
    // Records that a node's entry has been deleted from the store.
    void recordRemoval(const sync::NodeRecord&);
    // Returns the queries and notices to send. Must be called every `tickInterval`.
    OutgoingMessages tick(base::Instant now);
    // Returns the messages to send in response: a reply or forwarded notices.
    OutgoingMessages handle(const Message&, base::Instant now);

    static constexpr base::Duration tickInterval = std::chrono::milliseconds(50);

private:
    static constexpr base::Duration hubQueryInterval = std::chrono::milliseconds(250);
    // A hub asks a neighbour for its state if that is newer by more than this.
    static constexpr base::Duration minFresherBy = std::chrono::milliseconds(500);
    // Longer than within a data centre, because traffic between data centres is billed.
    static constexpr base::Duration remoteQueryInterval = std::chrono::milliseconds(500);
    // Applies until the node has a manifest and a list. A reply without state takes a few milliseconds.
    static constexpr base::Duration startupQueryInterval = std::chrono::milliseconds(100);
    static constexpr base::Duration silentNodeQueryInterval = std::chrono::milliseconds(2000);
    // Later replies are ignored unless they carry full state, since the reply to the next query contains everything that
    // they do.
    static constexpr base::Duration replyTimeout = std::chrono::milliseconds(2000);
    // Entries expire only after several missed heartbeats, so no entry of a list that was confirmed more recently than
    // this can have expired.
    static constexpr base::Duration maxListAgeWithoutExpiry = std::chrono::milliseconds(2400);
    // How long the loss of the store counts that a reply reported. Longer than one lost query between data centres.
    static constexpr base::Duration storeLossLifetime = std::chrono::milliseconds(1200);
    // Limits the memory for the text of a manifest from another node.
    static constexpr size_t maxManifestBytes = 4 * 1024 * 1024;
    // Limits the number of messages while take-ups arrive all the time.
    static constexpr base::Duration listCheckInterval = std::chrono::milliseconds(200);
    // A leader that stood still for longer may have been replaced.
    static constexpr base::Duration maxTickGap = std::chrono::milliseconds(400);
    // Longer than machines take to restart and nearly all cuts last. Until then each silent node counts as a node that shares limits.
    static constexpr base::Duration removalAge = std::chrono::minutes(15);
    // Limits the size of a message.
    static constexpr size_t maxAttemptsPerQuery = 256;
    // Older suspicions and crashes are neither applied nor forwarded.
    static constexpr base::Duration failureNoticeLifetime = std::chrono::milliseconds(1000);

    OutgoingMessages receive(const StateQuery&, base::Instant now);
    // Returns whether this hub should ask the sender for its state, which the sender has read from the store itself.
    bool isNewerThanOwn(const StateQuery&, base::Instant now) const;
    OutgoingMessages receive(const StateReply&, base::Instant now);
    OutgoingMessages receive(const FailureNotice&, base::Instant now);
    OutgoingMessages receive(const OriginQuery&, base::Instant now);
    OutgoingMessages receive(const OriginReply&, base::Instant now);
    void askForOrigins(OutgoingMessages&, base::Instant now);
    // Asks how new the lists of other nodes are while take-ups wait for it.
    void checkList(OutgoingMessages&, base::Instant now);
    void concludeListCheck(base::Instant now);
    // Returns whether this node reads the store for the others, and has a list from a read since it took this over.
    bool isReader() const;
    void logListCheck(sync::StoreVersion held, bool hasSucceeded, base::Instant now) const;
    // Returns whether this hub may ask its neighbour about quarantined prompt parts, as it does after a restart.
    bool lacksQuarantine(const StateQuery&) const;
    // A line for each manifest or full list that is sent or received, with its size.
    static void logSentState(const StateQuery&, const StateReply&);
    // `sinceQuery` is not set if the query has expired, so that the reply is not used.
    static void logReceivedState(const StateReply&, std::optional<base::Duration> sinceQuery);
    void applyManifest(const StateReply&, base::Instant queriedAt, base::Instant now);
    void applyList(const StateReply&, base::Instant queriedAt);
    static base::Duration missingEntryGraceFor(const StateReply&, const std::optional<sync::UpstreamSnapshot>& current, base::Instant queriedAt);
    // Returns whether the reply may hold full state.
    bool mayIncludeFullState(const StateQuery&, base::Instant now);
    // Records the full state that a node is sent.
    void recordSentState(const StateQuery&, const StateReply&, base::Instant now);
    // Tells the node what full state it was last sent.
    LinkProbe makeProbe(const base::VmName&) const;
    void recordProbe(const StateReply&, base::Instant queriedAt, base::Instant now);
    // `held` is the version of the list that the receiver of the reply holds.
    void addListTo(const StateQuery&, StateReply&, sync::StoreVersion held);
    // Returns the version of the list that a message states, with the era of `current` if the message states none.
    template<typename Body>
    static sync::StoreVersion statedListVersion(const Body&, const std::optional<sync::UpstreamSnapshot>& current);
    template<typename Body>
    void learnEra(const Body&, base::Instant now);
    void addManifestTo(const StateQuery&, const std::shared_ptr<const std::string>& text, StateReply&);
    // Returns the text of the manifest in the reply, or nullopt if it is damaged.
    static std::optional<std::string> manifestTextOf(const StateReply&);
    void recordUnreadableManifest(const StateReply&, const std::string& detail, base::Instant now);
    // Returns the version of the manifest in force, or that of a newer one that is not to be requested.
    uint64_t manifestVersionNotLacking(base::Instant now) const;
    fleet::LoadMap filterLoads(const fleet::LoadMap&, const base::DataCentreName& receiver);
    void queryHub(OutgoingMessages&, base::Instant now);
    void queryRemoteHubs(OutgoingMessages&, base::Instant now);
    void querySilentNodes(OutgoingMessages&, base::Instant now);
    // Returns the neighbours that this hub does not query as hub candidates, but before it takes them for gone.
    std::vector<SilentNode> silentNeighboursToQuery(base::Instant now) const;
    // Returns whether this node would hear its neighbours now.
    bool isAttentive(base::Instant now) const { return m_role.isHub() && m_directory.hasLivePeer(now); }
    // While the nodes that are asked regularly do not answer, asks a neighbour in turn, to tell their loss from that of this
    // node's own link.
    void checkOwnLink(OutgoingMessages&, base::Instant now);
    // Records as evidence for this node's link that a node is asked, which is done every `interval`. One that left the last
    // question unanswered may be gone alone, and does not count.
    void recordAsked(const sync::NodeRecord&, base::Duration interval, base::Instant now);
    // Sends the suspicions and crashes that `notice.from`, which may be this node, reported.
    void sendFailureNotice(OutgoingMessages&, const FailureNotice&, base::Instant now);
    OutgoingMessage makeQuery(const sync::NodeRecord&, fleet::LoadMap loads, base::Instant now);
    // Returns whether this node has both a manifest and a list of upstreams.
    bool hasState() const { return m_manifest.state().index && m_upstreamCache.snapshot(); }
    // Returns whether the sender has a newer manifest or list that its reply does not include.
    bool lacksStateOf(const StateReply&, base::Instant now) const;
    void recordUnaskedState(const StateReply&, const PendingQuery&);
    // Returns whether the reply to a request for full state may still arrive.
    bool isAwaitingState(base::Instant now) const;
    // Returns the load that a query to `node` reports.
    fleet::LoadMap loadsFor(const sync::NodeRecord& node, base::Instant now);
    fleet::LoadMap dataCentreLoads(base::Instant now);
    // Requests the state that the sender of the reply holds.
    OutgoingMessage makeFullStateQuery(const StateReply&, base::Instant now);
    bool isNeighbour(const sync::NodeRecord& node) const { return node.dataCentre == m_directory.self().dataCentre; }
    void updateRole(base::Instant now);

    fleet::Fleet& m_fleet;
    forward::CrashEvidence& m_crashes;
    origin::StreamOrigins& m_origins;
    manifest::ManifestHolder& m_manifest;
    sync::UpstreamListCache& m_upstreamCache;
    sync::NodeRole& m_role;
    sync::StoreEra& m_era;
    base::Mutex m_mutex;
    NodeDirectory m_directory;
    PeerLoadTable m_peerLoads;
    std::map<base::DataCentreName, LoadFilter> m_loadFilters;
    uint64_t m_sequence = 0;
    std::map<uint64_t, PendingQuery> m_pendingQueries;
    ListCheck m_listCheck;
    base::Instant m_lastListCheck {};
    // When this node became the leader, or began to tick again after it stood still.
    base::Instant m_leaderSince {};
    // Since when this node would have heard its neighbours all the time.
    base::Instant m_attentiveSince {};
    StateTransfer m_stateTransfer;
    // Nodes of the earlier release, which send full state unasked. They are asked for state only by requests for full state.
    std::set<base::VmName> m_unaskedSenders;
    UnreadableManifest m_unreadableManifest;
    std::map<base::VmName, StateOnItsWay> m_stateToOlderNodes;
    std::map<base::VmName, SentState> m_sentStates;
    // The last text that was sent compressed, and its compressed form.
    std::shared_ptr<const std::string> m_compressedText;
    std::shared_ptr<const std::string> m_compressedManifest;
    base::Instant m_lastTick {};
    base::Instant m_lastHubQuery {};
    base::Instant m_lastRemoteQuery {};
    base::Instant m_lastSilentNodeQuery {};
    SilentNodeRotation m_silentNodeRotation;
    base::Instant m_lastNeighbourQuery {};
    base::Instant m_lastLinkCheck {};
    base::VmName m_lastLinkWitness;
    base::Instant m_readerCutOffAt {};
    bool m_hasNodeList = false;
};

} // namespace redwingseam::replication

#include "replication/PeerSyncImpl.h"
