#pragma once

#include "claim/ClaimGroup.h"
#include "claim/ClaimNotice.h"
#include "claim/LogCall.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/store/CallOutcome.h"

#include <vector>

namespace redwingseam::claim {

// The claim logs of a node. Keys are spread over groups by hash, each group with a log and a lock of
// its own. Thread-safe.
class ShardedClaimLog {
public:
    // More groups would let more appends run side by side; fewer make larger batches, so that the
    // whole fleet stays within the platform's write budget.
    static constexpr size_t groupCount = 16;
    // Time between two appends of a group.
    static constexpr base::Duration appendInterval = std::chrono::milliseconds(60);
    // Time between two looks at the log while a request waits for another's outcome.
    static constexpr base::Duration refreshInterval = std::chrono::milliseconds(250);
    // Time after which a relayed record is appended by the node itself.
    static constexpr base::Duration relayTimeout = std::chrono::milliseconds(800);
    // Time for which a key is remembered at least. A start from a checkpoint begins it anew.
    static constexpr base::Duration keyRetention = std::chrono::hours(24);
    // Time between two marks of how far a log had come.
    static constexpr base::Duration markInterval = std::chrono::minutes(10);
    // Log objects after which the preferred writer stores a new checkpoint.
    static constexpr uint64_t checkpointInterval = 64;

    static size_t groupOf(const base::IdempotencyKey&);

    // Appends a record from this node.
    void append(ClaimRecord, ClaimWaiter);
    // Books a record that goes to the preferred writer instead.
    void relay(ClaimRecord, ClaimWaiter, base::Instant now);
    // Takes the answer of the preferred writer. Nothing if no one waits for it any more.
    std::optional<ClaimNotice> onDecided(const ClaimRecordId&, const ClaimRecord& inForce);

    // Notes that a claim's request was refused without having been dispatched. If the claim turns out
    // to have taken its place in the log, it is to be given up.
    void withdraw(const ClaimRecordId&);
    // Whether the claim was withdrawn; true once.
    bool takeWithdrawn(const ClaimRecordId&);

    // Waits until the holder of a key has finished or given up. Returns what the log says if it already
    // has; otherwise a notice with the request follows, unless the deadline passes first.
    std::optional<ClaimRecord> awaitOutcome(const base::IdempotencyKey&, base::RequestId, base::Instant deadline);

    // Next call of a group, if it is time for one.
    LogCall poll(size_t group, base::Instant now);
    // Takes the result of a call. `jitter` is a random word that spreads retries.
    std::vector<ClaimNotice> onCheckpoint(size_t group, store::CallOutcome, base::ObjectVersion, const std::optional<Checkpoint>&, base::Instant now, uint64_t jitter);
    std::vector<ClaimNotice> onRead(size_t group, store::CallOutcome, const std::optional<ClaimBatch>&, base::Instant now, uint64_t jitter);
    std::vector<ClaimNotice> onCreated(size_t group, store::CallOutcome, base::Instant now, uint64_t jitter);

    // Relayed records that have waited too long are appended by this node.
    void appendOverdueRelayed(size_t group, base::Instant now);

    // Checkpoint to be stored by the preferred writer, when enough has been appended since the last.
    std::optional<Checkpoint> dueCheckpoint(size_t group, base::ObjectVersion& expected);
    void onCheckpointStored(size_t group, store::CallOutcome, base::ObjectVersion);

    // Records that are not yet known to be in the log.
    size_t pending();

private:
    static std::vector<ClaimNotice> takeNotices(ClaimGroup&);
    static void notifyOutcomeWaiters(ClaimGroup&, const ClaimRecord&, std::vector<ClaimNotice>&);
    static void expireKeys(ClaimGroup&, base::Instant now);
    static void refreshForWaiters(ClaimGroup&, base::Instant now);
    static void backOff(ClaimGroup&, base::Instant now, uint64_t jitter);

    base::Sharded<ClaimGroup, groupCount> m_groups;
};

} // namespace redwingseam::claim
