#pragma once

#include "claim/ClaimDesk.h"
#include "membership/FactStore.h"
#include "membership/HeartbeatMonitor.h"
#include "membership/RumorQueue.h"
#include "node/BlameDesk.h"
#include "node/ClientUseMeter.h"
#include "node/Context.h"
#include "node/Policies.h"
#include "node/PoolDirectory.h"
#include "node/PoolShard.h"
#include "node/RequestState.h"
#include "node/SuspectWard.h"
#include "node/TokenOutcome.h"
#include "node/VmDirectory.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/node/AttemptEnded.h"
#include "redwingseam/node/CallerGone.h"
#include "redwingseam/node/NodeConfig.h"
#include "redwingseam/node/NodeStatus.h"
#include "redwingseam/node/ProbeFailed.h"
#include "redwingseam/node/Tick.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/PlatformReply.h"
#include "report/SloRecorder.h"
#include "settings/Acceptor.h"
#include "settings/SnapshotHolder.h"

#include <atomic>
#include <unordered_map>

namespace redwingseam::node {

// Decisions of one VM, without I/O, clock or thread. Each `handle` takes an event and adds effects to
// the context. Thread-safe: state lies in shards, and a call holds one shard's lock at a time.
template<typename Policies>
class NodeCore {
public:
    explicit NodeCore(NodeConfig);

    void start(Context&);
    void handle(const CallerRequest&, Context&);
    void handle(const CallerGone&, Context&);
    void handle(const TokensReceived&, Context&);
    void handle(const AttemptEnded&, Context&);
    void handle(const ProbeFailed&, Context&);
    void handle(const route::LoadReport&, Context&);
    void handle(const route::CacheEvent&, Context&);
    void handle(const store::PlatformReply&, Context&);
    void handle(const store::ObjectChanged&, Context&);
    void handle(const peer::PeerMessage&, Context&);
    void handle(const Tick&, Context&);

    // Refuses new requests from now on and tells the peers; running ones go on.
    void beginDrain(Context&);
    // Whether nothing is left that a caller or a claim waits for.
    bool isDrained();

    NodeStatus status(base::Instant now);
    report::SloRecorder& recorder() { return m_recorder; }
    std::shared_ptr<const settings::Tree> settings() { return m_settings.snapshot(); }
    std::vector<route::UpstreamRecord> upstreams();

private:
    using State = RequestState<typename Policies::LedgerRules>;
    using RequestMap = std::unordered_map<base::RequestId, State>;

    // Requests: NodeCoreRequests.h.
    void admit(State, Context&);
    bool checkTarget(State&, Context&);
    bool checkResume(State&, Context&);
    void enqueue(const base::RequestId&, Context&);
    schedule::QueuedWork describeWork(const State&);
    void refuse(const base::RequestId&, base::Error, RunState, Context&);
    void refuse(const State&, base::Error, RunState, Context&);
    std::optional<State> take(const base::RequestId&);
    template<typename Function>
    void withRequest(const base::RequestId&, Function&&);
    void dropFlights(const State&, Context&);
    void giveUpClaim(const State&, Context&);
    base::Duration retryAfter(const base::PoolName&);

    // Dispatching: NodeCoreDispatch.h.
    void pump(const base::PoolName&, Context&);
    bool dispatchOne(const base::PoolName&, std::vector<CancelAttempt>&, Context&);
    bool preemptOne(const base::PoolName&, std::vector<CancelAttempt>&, Context&);
    bool preempt(const base::PoolName&, base::RequestId, std::vector<CancelAttempt>&);
    bool begin(const Dispatch&, Context&);
    bool startFlight(const Dispatch&, Context&);
    void release(const base::PoolName&, const base::UpstreamName&, base::RequestId);
    template<typename Function>
    void withPool(const base::PoolName&, Function&&);

    // Streams and losses: NodeCoreStreams.h.
    void complete(const AttemptEnded&, Context&);
    void loseAttempt(base::RequestId, base::AttemptNumber, Context&);
    void onConnectionLost(base::RequestId, const Flight&, Context&);
    void onTokenGap(const TokenOutcome&, Context&);
    route::DeathId deathOf(const base::UpstreamName&);
    void requeueAfterLoss(base::RequestId, Context&);
    void checkSilence(Context&);
    void checkDeadlines(Context&);
    void suspectSilent(base::RequestId, Context&);
    void detach(base::RequestId, Context&);

    // Suspects: NodeCoreSuspects.h.
    void hold(const schedule::QueuedWork&, const base::PoolName&, Context&);
    void tryHeldSuspects(Context&);
    void tryApart(const HeldSuspect&, Context&);
    void tellAtOnce(const std::vector<membership::VerdictRecord>&, Context&);

    // Claims: NodeCoreClaims.h.
    void claim(const State&, Context&);
    void submit(claim::ClaimRecord, claim::ClaimWaiter, Context&);
    void pumpClaims(size_t group, Context&);
    void settle(const std::vector<claim::ClaimNotice>&, Context&);
    void settleRequest(base::RequestId, const claim::ClaimTicket&, const claim::ClaimRecord& inForce, Context&);
    void settleForeign(base::RequestId, const claim::ClaimRecord& inForce, Context&);
    void onClaimReply(const store::PlatformReply&, Context&);

    // Facts and peers: NodeCorePeers.h.
    void learn(const membership::Fact&, Context&);
    void apply(const membership::Fact&, Context&);
    void applyUpstream(const route::UpstreamRecord&, Context&);
    void applyVm(const membership::Fact&, Context&);
    void announceSelf(membership::VmState, Context&);
    void on(const peer::Heartbeat&, Context&);
    void on(const peer::Gossip&, Context&);
    void on(const peer::Digest&, Context&);
    void on(const peer::ClaimRelay&, Context&);
    void on(const peer::ClaimDecided&, Context&);
    void gossip(Context&);
    void sendHeartbeats(Context&);
    void compareWithPeer(Context&);
    void send(const base::VmName&, peer::PeerMessage, Context&);
    bool isRelay();
    std::vector<base::VmName> farRelays(Context&);
    std::vector<base::VmName> randomPeers(size_t count, Context&);
    peer::Digest makeDigest(bool wantsDigest);
    void applyVerdict(const membership::VerdictRecord&, Context&);
    void applyFloors();
    void applyHeavyClients(const membership::HeavyClients&);
    void shareClientUse(Context&);

    // Settings: NodeCoreSettings.h.
    bool isPreferredAcceptor();
    void acceptBranches(Context&);
    void chooseWatches(Context&);
    settings::Policy policyFor(const CallerRequest&);

    static constexpr size_t relaysPerDataCentre = 2;

    NodeConfig m_config;
    std::atomic<uint64_t> m_incarnation;
    std::atomic<bool> m_isDraining { false };
    std::atomic<int64_t> m_platformSilentSince { 0 };
    std::atomic<int64_t> m_lastGossip { 0 };
    std::atomic<int64_t> m_lastHeartbeat { 0 };
    std::atomic<int64_t> m_lastDigest { 0 };
    std::atomic<int64_t> m_lastUseShare { 0 };
    std::atomic<uint64_t> m_useSequence { 0 };
    std::atomic<bool> m_isWatching { false };
    base::Sharded<RequestMap> m_requests;
    base::Sharded<PoolShard> m_pools;
    PoolDirectory m_directory;
    VmDirectory m_vms;
    BlameDesk m_blame;
    SuspectWard m_ward;
    ClientUseMeter m_use;
    claim::ClaimDesk m_claims;
    membership::FactStore<typename Policies::OverrideRules> m_facts;
    membership::RumorQueue m_rumors;
    membership::RumorQueue m_farRumors;
    membership::HeartbeatMonitor m_monitor;
    settings::SnapshotHolder m_settings;
    settings::Acceptor m_acceptor;
    report::SloRecorder m_recorder;
};

extern template class NodeCore<DefaultPolicies>;

} // namespace redwingseam::node
