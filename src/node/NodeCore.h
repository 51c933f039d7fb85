#pragma once

#include "claim/ShardedClaimLog.h"
#include "membership/GossipStore.h"
#include "membership/HeartbeatMonitor.h"
#include "membership/RumorQueue.h"
#include "node/ClientUseMeter.h"
#include "node/Context.h"
#include "node/LockedCrashAttribution.h"
#include "node/Policies.h"
#include "node/PoolDirectory.h"
#include "node/PoolShard.h"
#include "node/RequestState.h"
#include "node/SuspectQueue.h"
#include "node/TokenOutcome.h"
#include "node/VmDirectory.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/CallerDisconnected.h"
#include "redwingseam/node/NodeConfig.h"
#include "redwingseam/node/NodeStatus.h"
#include "redwingseam/node/ProbeFailed.h"
#include "redwingseam/node/Tick.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/StoreReply.h"
#include "report/SloRecorder.h"
#include "settings/CurrentSettings.h"
#include "settings/EditValidator.h"

#include <atomic>
#include <unordered_map>

namespace redwingseam::node {

// Decision logic of one VM, without I/O, clock or threads. Each `handle` processes an event and adds
// effects to the context. Thread-safe: state is kept in shards, and a call holds one shard's lock at a
// time.
template<typename Policies>
class NodeCore {
public:
    explicit NodeCore(NodeConfig);

    void start(Context&);
    void handle(const CallerRequest&, Context&);
    void handle(const CallerDisconnected&, Context&);
    void handle(const TokensReceived&, Context&);
    void handle(const AttemptEnded&, Context&);
    void handle(const ProbeFailed&, Context&);
    void handle(const route::LoadReport&, Context&);
    void handle(const route::CacheEvent&, Context&);
    void handle(const store::StoreReply&, Context&);
    void handle(const store::ObjectChanged&, Context&);
    void handle(const peer::PeerMessage&, Context&);
    void handle(const Tick&, Context&);

    // Refuses new requests from now on and gossips the state Leaving. Accepted requests continue.
    void beginDrain(Context&);
    // Returns whether no request is open and no claim record is pending.
    bool isDrained();

    NodeStatus status(base::Instant now);
    report::SloRecorder& recorder() { return m_recorder; }
    std::shared_ptr<const settings::Tree> settings() { return m_settings.snapshot(); }
    std::vector<route::UpstreamRecord> upstreams();

private:
    using State = RequestState<typename Policies::SequencerRules>;
    using RequestMap = std::unordered_map<base::RequestId, State>;

    // Requests: NodeCoreRequests.h.
    void admit(State, Context&);
    bool checkTarget(State&, Context&);
    bool checkResume(State&, Context&);
    void enqueue(const base::RequestId&, Context&);
    schedule::QueuedWork makeQueuedWork(const State&);
    void refuse(const base::RequestId&, base::Error, RunState, Context&);
    void refuse(const State&, base::Error, RunState, Context&);
    std::optional<State> removeRequest(const base::RequestId&);
    template<typename Function>
    void withRequest(const base::RequestId&, Function&&);
    void cancelAttempts(const State&, Context&);
    void abandonClaim(const State&, Context&);
    base::Duration retryAfter(const base::PoolName&);

    // Dispatching: NodeCoreDispatch.h.
    void dispatchQueued(const base::PoolName&, Context&);
    bool dispatchOne(const base::PoolName&, std::vector<CancelAttempt>&, Context&);
    bool preemptOne(const base::PoolName&, std::vector<CancelAttempt>&, Context&);
    bool preempt(const base::PoolName&, base::RequestId, std::vector<CancelAttempt>&);
    bool tryStart(const Dispatch&, Context&);
    bool startAttempt(const Dispatch&, Context&);
    void release(const base::PoolName&, const base::UpstreamName&, base::RequestId);
    template<typename Function>
    void withPool(const base::PoolName&, Function&&);

    // Streams and lost attempts: NodeCoreStreams.h and NodeCoreTimers.h.
    void complete(const AttemptEnded&, Context&);
    void handleLostAttempt(base::RequestId, base::AttemptNumber, Context&);
    void onConnectionLost(base::RequestId, const Attempt&, Context&);
    void onTokenGap(const TokenOutcome&, Context&);
    route::CrashId crashIdOf(const base::UpstreamName&);
    void requeueAfterLoss(base::RequestId, Context&);
    void hedgeStalledRequests(Context&);
    void checkDeadlines(Context&);
    void hedgeStalledRequest(base::RequestId, Context&);
    void detach(base::RequestId, Context&);

    // Suspects: NodeCoreSuspects.h.
    void queueSuspect(const schedule::QueuedWork&, const base::PoolName&, Context&);
    void dispatchDueSuspects(Context&);
    void dispatchIsolated(const QueuedSuspect&, Context&);
    void broadcastReports(const std::vector<membership::CrashReport>&, Context&);

    // Claims: NodeCoreClaims.h.
    void claim(const State&, Context&);
    void submit(claim::ClaimRecord, claim::ClaimWaiter, Context&);
    void issueClaimCall(size_t group, Context&);
    void handleClaimNotices(const std::vector<claim::ClaimNotice>&, Context&);
    void handleClaimNotice(base::RequestId, const claim::ClaimRecordId&, const claim::ClaimRecord& inForce, Context&);
    void handleConflictingClaim(base::RequestId, const claim::ClaimRecord& inForce, Context&);
    void onClaimReply(const store::StoreReply&, Context&);

    // Facts and peers: NodeCorePeers.h.
    void mergeFact(const membership::GossipEntry&, Context&);
    void applyFact(const membership::GossipEntry&, Context&);
    void applyUpstream(const route::UpstreamRecord&, Context&);
    void applyVm(const membership::GossipEntry&, Context&);
    void announceSelf(membership::VmState, Context&);
    void on(const peer::Heartbeat&, Context&);
    void on(const peer::Gossip&, Context&);
    void on(const peer::Digest&, Context&);
    void on(const peer::ClaimRelay&, Context&);
    void on(const peer::ClaimDecided&, Context&);
    void gossip(Context&);
    void sendHeartbeats(Context&);
    void sendDigests(Context&);
    void send(const base::VmName&, peer::PeerMessage, Context&);
    bool isRelay();
    std::vector<base::VmName> remoteRelays(Context&);
    std::vector<base::VmName> randomPeers(size_t count, Context&);
    peer::Digest makeDigest(bool wantsReplyDigest);
    void applyCrashReport(const membership::CrashReport&, Context&);
    void applyFloors();
    void applyHeavyClients(const membership::HeavyClients&);
    void gossipHeavyClients(Context&);

    // Settings: NodeCoreSettings.h.
    bool isPreferredAcceptor();
    void acceptBranches(Context&);
    void updateWatches(Context&);
    settings::RequestSettings requestSettingsFor(const CallerRequest&);

    static constexpr size_t relaysPerDataCentre = 2;

    NodeConfig m_config;
    std::atomic<uint64_t> m_incarnation;
    std::atomic<bool> m_isDraining { false };
    std::atomic<int64_t> m_platformUnreachableSince { 0 };
    std::atomic<int64_t> m_lastGossip { 0 };
    std::atomic<int64_t> m_lastHeartbeat { 0 };
    std::atomic<int64_t> m_lastDigest { 0 };
    std::atomic<int64_t> m_lastClientUse { 0 };
    std::atomic<uint64_t> m_clientUseSequence { 0 };
    std::atomic<bool> m_isWatching { false };
    base::Sharded<RequestMap> m_requests;
    base::Sharded<PoolShard> m_pools;
    PoolDirectory m_directory;
    VmDirectory m_vms;
    LockedCrashAttribution m_crashAttribution;
    SuspectQueue m_suspectQueue;
    ClientUseMeter m_clientUse;
    claim::ShardedClaimLog m_claims;
    membership::GossipStore<typename Policies::OverrideRules> m_gossipStore;
    membership::RumorQueue m_rumors;
    membership::RumorQueue m_remoteRumors;
    membership::HeartbeatMonitor m_monitor;
    settings::CurrentSettings m_settings;
    settings::EditValidator m_editValidator;
    report::SloRecorder m_recorder;
};

extern template class NodeCore<DefaultPolicies>;

} // namespace redwingseam::node
