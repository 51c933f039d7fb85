#pragma once

#include "claim/ShardedClaimLog.h"
#include "membership/GossipStore.h"
#include "membership/HeartbeatMonitor.h"
#include "membership/RumorQueue.h"
#include "node/CallContext.h"
#include "node/ClientUsageMeter.h"
#include "node/DefaultRules.h"
#include "node/LockedCrashAttribution.h"
#include "node/PoolDirectory.h"
#include "node/PoolShard.h"
#include "node/RequestState.h"
#include "node/StandstillMeter.h"
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

// State and decision logic of one VM, without I/O, clock or threads; `Decisions` is its public interface. Each
// `handle` processes an event and adds effects to the context. Thread-safe: state is kept in shards, and a call
// holds one shard's lock at a time.
template<typename Rules>
class NodeCore {
public:
    explicit NodeCore(NodeConfig);

    void start(CallContext&);
    void handle(const CallerRequest&, CallContext&);
    void handle(const CallerDisconnected&, CallContext&);
    void handle(const TokensReceived&, CallContext&);
    void handle(const AttemptEnded&, CallContext&);
    void handle(const ProbeFailed&, CallContext&);
    void handle(const route::LoadReport&, CallContext&);
    void handle(const route::CacheEvent&, CallContext&);
    void handle(const store::StoreReply&, CallContext&);
    void handle(const store::ObjectChanged&, CallContext&);
    void handle(const peer::PeerMessage&, CallContext&);
    void handle(const Tick&, CallContext&);

    // Refuses new requests from now on and gossips the state Leaving. Accepted requests continue.
    void beginDrain(CallContext&);
    // Returns whether no request is open and no claim record is pending.
    bool isDrained();

    NodeStatus status(base::Instant now);
    report::SloRecorder& recorder() { return m_recorder; }
    std::shared_ptr<const settings::Tree> settings() { return m_settings.snapshot(); }
    std::vector<route::UpstreamRecord> upstreams();

private:
    using State = RequestState<typename Rules::SequencerRules>;
    using RequestMap = std::unordered_map<base::RequestId, State>;

    // Requests: NodeCoreRequests.h.
    void admit(State, CallContext&);
    bool checkTarget(State&, CallContext&);
    bool checkResume(State&, CallContext&);
    void enqueue(const base::RequestId&, CallContext&);
    schedule::QueuedWork makeQueuedWork(const State&);
    void refuse(const base::RequestId&, base::Error, RunState, CallContext&);
    void refuse(const State&, base::Error, RunState, CallContext&);
    std::optional<State> removeRequest(const base::RequestId&);
    template<typename Function>
    void withRequest(const base::RequestId&, Function&&);
    void cancelAttempts(const State&, CallContext&);
    // As cancelAttempts, and gives the freed slots to queued work.
    void cancelAttemptsAndDispatch(const State&, CallContext&);
    void abandonClaim(const State&, CallContext&);
    base::Duration retryAfter(const base::PoolName&);

    // Dispatching: NodeCoreDispatch.h.
    void dispatchQueued(const base::PoolName&, CallContext&);
    bool dispatchOne(const base::PoolName&, std::vector<CancelAttempt>&, CallContext&);
    bool preemptForQueued(const base::PoolName&, std::vector<CancelAttempt>&, CallContext&);
    bool preemptStream(const base::PoolName&, base::RequestId, std::vector<CancelAttempt>&);
    bool tryStart(const Placement&, CallContext&);
    void refuseHarmful(base::RequestId, CallContext&);
    bool startAttempt(const Placement&, CallContext&);
    void release(const base::PoolName&, const base::UpstreamName&, base::RequestId);
    template<typename Function>
    void withPool(const base::PoolName&, Function&&);

    // Streams and lost attempts: NodeCoreStreams.h and NodeCoreTimers.h.
    void complete(const AttemptEnded&, CallContext&);
    void handleLostAttempt(base::RequestId, base::AttemptNumber, CallContext&);
    void handleConnectionLost(base::RequestId, const Attempt&, CallContext&);
    void recordUpstreamTokenInterval(const TokenOutcome&, CallContext&);
    route::CrashId crashIdOf(const base::UpstreamName&);
    void requeueAfterLoss(base::RequestId, CallContext&);
    // Excludes a time in which this process did not run from the silence of the upstreams.
    void discountStandstill(CallContext&);
    void hedgeStalledRequests(CallContext&);
    void checkDeadlines(CallContext&);
    void queueHedge(base::RequestId, CallContext&);
    void detach(base::RequestId, CallContext&);

    // Suspects: NodeCoreSuspects.h.
    void queueSuspect(const schedule::QueuedWork&, const base::PoolName&, CallContext&);
    void dispatchDueSuspects(CallContext&);
    void dispatchIsolated(const QueuedSuspect&, CallContext&);
    void broadcastReports(const std::vector<membership::CrashReport>&, CallContext&);

    // Claims: NodeCoreClaims.h.
    void claim(const State&, CallContext&);
    void submit(claim::ClaimRecord, claim::ClaimWaiter, CallContext&);
    void issueClaimCall(size_t group, CallContext&);
    void handleClaimNotices(const std::vector<claim::ClaimNotice>&, CallContext&);
    void handleClaimNotice(base::RequestId, const claim::ClaimRecordId&, const claim::ClaimRecord& effectiveRecord, CallContext&);
    void handleConflictingClaim(base::RequestId, const claim::ClaimRecord& effectiveRecord, CallContext&);
    void handleClaimReply(const store::StoreReply&, CallContext&);

    // Gossip and peers: NodeCoreGossip.h and NodeCorePeers.h.
    void mergeGossipEntry(const membership::GossipEntry&, CallContext&);
    void applyGossipEntry(const membership::GossipEntry&, CallContext&);
    void applyUpstream(const route::UpstreamRecord&, CallContext&);
    void applyVm(const membership::GossipEntry&, CallContext&);
    void announceSelf(membership::VmState, CallContext&);
    void handleMessage(const peer::Heartbeat&, CallContext&);
    void handleMessage(const peer::Gossip&, CallContext&);
    void handleMessage(const peer::Digest&, CallContext&);
    void handleMessage(const peer::ClaimRelay&, CallContext&);
    void handleMessage(const peer::ClaimDecided&, CallContext&);
    void gossip(CallContext&);
    void sendHeartbeats(CallContext&);
    void sendDigests(CallContext&);
    void send(const base::VmName&, peer::PeerMessage, CallContext&);
    // Returns whether this VM is one of those that exchange gossip with the other data centres.
    bool isRemoteGossiper();
    // Returns one remote gossiper of each other data centre, chosen at random.
    std::vector<base::VmName> remoteGossipTargets(CallContext&);
    std::vector<base::VmName> randomPeers(size_t count, CallContext&);
    peer::Digest makeDigest(bool wantsReplyDigest);
    void applyCrashReport(const membership::CrashReport&, CallContext&);
    void applyFloors();
    void applyHeavyClients(const membership::HeavyClients&);
    void gossipHeavyClients(CallContext&);

    // Settings: NodeCoreSettings.h.
    bool isPreferredSettingsWriter();
    void storeAcceptedBranches(CallContext&);
    void updateWatches(CallContext&);
    settings::RequestSettings requestSettingsFor(const CallerRequest&);

    static constexpr size_t remoteGossipersPerDataCentre = 2;

    NodeConfig m_config;
    std::atomic<uint64_t> m_incarnation;
    std::atomic<bool> m_isDraining { false };
    // Times are ticks of base::Instant since its epoch.
    // Time of the first call to the platform's store that went unanswered since the last answered one, or 0 if the
    // last one was answered.
    std::atomic<int64_t> m_platformUnreachableSince { 0 };
    // Times of the last periodic actions, or 0 if there was none yet.
    std::atomic<int64_t> m_lastGossip { 0 };
    std::atomic<int64_t> m_lastHeartbeat { 0 };
    std::atomic<int64_t> m_lastDigest { 0 };
    std::atomic<int64_t> m_lastClientUsage { 0 };
    StandstillMeter m_standstill { tickInterval };
    std::atomic<uint64_t> m_clientUsageSequence { 0 };
    std::atomic<bool> m_isWatching { false };
    base::Sharded<RequestMap> m_requests;
    base::Sharded<PoolShard> m_pools;
    PoolDirectory m_poolDirectory;
    VmDirectory m_vmDirectory;
    LockedCrashAttribution m_crashAttribution;
    SuspectQueue m_suspectQueue;
    ClientUsageMeter m_clientUsage;
    claim::ShardedClaimLog m_claimLog;
    membership::GossipStore<typename Rules::OverrideRules> m_gossipStore;
    membership::RumorQueue m_rumors;
    membership::RumorQueue m_remoteRumors;
    membership::HeartbeatMonitor m_heartbeatMonitor;
    settings::CurrentSettings m_settings;
    settings::EditValidator m_editValidator;
    report::SloRecorder m_recorder;
};

extern template class NodeCore<DefaultRules>;

} // namespace redwingseam::node
