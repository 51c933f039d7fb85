#pragma once

#include "claim/ClaimGroup.h"
#include "claim/ClaimNotice.h"
#include "claim/LogCall.h"
#include "redwingseam/base/Sharded.h"
#include "redwingseam/store/CallOutcome.h"

#include <vector>

namespace redwingseam::claim {

// The claim logs of a node. Keys are spread over groups by hash; each group has its own log and its own lock.
// Thread-safe.
class ShardedClaimLog {
public:
    // More groups would allow more concurrent appends. Fewer groups make larger batches, which keep the whole
    // fleet within the write budget of the platform.
    static constexpr size_t groupCount = 16;
    // Minimum time between two appends of a group.
    static constexpr base::Duration appendInterval = std::chrono::milliseconds(60);
    // Time between two reads of the log while a request waits for another holder's outcome.
    static constexpr base::Duration refreshInterval = std::chrono::milliseconds(250);
    // Time after which the node appends a relayed record itself.
    static constexpr base::Duration relayTimeout = std::chrono::milliseconds(800);
    // Minimum time for which a key is kept. It starts anew when a node loads a checkpoint.
    static constexpr base::Duration keyRetention = std::chrono::hours(24);
    // Time between two marks of the log position.
    static constexpr base::Duration markInterval = std::chrono::minutes(10);
    // Number of log objects after which a node stores a new checkpoint.
    static constexpr uint64_t checkpointInterval = 64;

    static size_t groupOf(const base::IdempotencyKey&);

    // Appends a record of this node.
    void append(ClaimRecord, ClaimWaiter);
    // Registers a record that is sent to the preferred writer instead.
    void relay(ClaimRecord, ClaimWaiter, base::Instant now);
    // Handles the reply of the preferred writer. Returns the notice for the record's waiter, or nothing if the
    // record is no longer registered, for example because the reply is a repeated one.
    std::optional<ClaimNotice> onDecided(const ClaimRecordId&, const ClaimRecord& effectiveRecord);

    // Records that the request of a claim was refused before it was dispatched. A claim that enters the log
    // nevertheless must be abandoned.
    void withdraw(const ClaimRecordId&);
    // Returns whether the claim was withdrawn, and clears that mark.
    bool takeWithdrawn(const ClaimRecordId&);

    // Waits until the holder of a key has finished or abandoned it. Returns the effective record if that
    // has already happened; otherwise a notice with the request follows, unless the deadline passes first.
    std::optional<ClaimRecord> awaitOutcome(const base::IdempotencyKey&, base::RequestId, base::Instant deadline);

    // Returns the next call of a group, if one is due.
    LogCall poll(size_t group, base::Instant now);
    // Handle the result of a call. `jitter` is a random number that spreads retries.
    std::vector<ClaimNotice> onCheckpoint(size_t group, store::CallOutcome, base::ObjectVersion, const std::optional<Checkpoint>&, base::Instant now, uint64_t jitter);
    std::vector<ClaimNotice> onRead(size_t group, store::CallOutcome, const std::optional<ClaimBatch>&, base::Instant now, uint64_t jitter);
    std::vector<ClaimNotice> onCreated(size_t group, store::CallOutcome, base::Instant now, uint64_t jitter);

    // Appends the relayed records for which no reply came within `relayTimeout`.
    void appendOverdueRelayed(size_t group, base::Instant now);

    // Returns the checkpoint that this node must store, if the log has grown by `checkpointInterval` objects
    // since the last one that it loaded or returned. Any node does this, not only the preferred writer. Sets
    // `replacedVersion` to the version that the checkpoint replaces, as far as known.
    std::optional<Checkpoint> dueCheckpoint(size_t group, base::ObjectVersion& replacedVersion);
    void onCheckpointStored(size_t group, store::CallOutcome, base::ObjectVersion);

    // Returns the number of records that are waiting to be applied, relayed ones included.
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
