#pragma once

#include "claim/KeyState.h"
#include "claim/LogCall.h"
#include "redwingseam/base/Ids.h"
#include "redwingseam/claim/Checkpoint.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingseam::claim {

// One node's copy of an append-only log of claims, which the platform stores as numbered objects.
//
// Any node may append: it creates the object with the next number if that is absent, so the numbers order all
// claims and the first claim on a key wins. A node that finds a number taken reads the object and learns
// which claims came first. The same read resolves a lost reply: a claim belongs to the holder that is
// written in it, whichever call stored it. At most one call is in flight. Not thread-safe: the lock of its
// shard guards it.
class ClaimLog {
public:
    // Adds a record to the next append.
    void enqueue(ClaimRecord);
    // Removes claims that are not part of an append yet. Returns whether there were any.
    bool withdraw(const base::IdempotencyKey&, uint64_t holder);

    // Requests a read up to the end of the log even if there is nothing to append.
    void refresh() { m_isRefreshWanted = true; }

    // Returns the next call to make; its kind is None while a call is in flight or nothing is to be done.
    LogCall nextCall();

    // Handle the results of the call in flight. `takeApplied` returns the records that they applied.
    void onCheckpoint(const std::optional<Checkpoint>&);
    void onCreated();
    // Another object has the number already.
    void onConflict();
    void onRead(const std::optional<ClaimBatch>&);
    // The outcome of the call is unknown: the number is read before anything else is done.
    void onOutcomeUnknown();

    // Returns the records applied to this copy since the last call, in order, with and without effect.
    std::vector<ClaimRecord> takeApplied() { return std::exchange(m_applied, {}); }

    const KeyState* find(const base::IdempotencyKey&) const;
    bool isLoaded() const { return m_isLoaded; }
    uint64_t nextNumber() const { return m_nextNumber; }
    size_t keyCount() const { return m_keys.size(); }
    // Returns the number of this node's records that are not applied yet.
    size_t pendingCount() const { return m_waiting.size() + m_inFlight.records.size(); }

    // Returns the current state without the keys last changed before object number `oldest`.
    Checkpoint checkpoint(uint64_t oldest) const;
    // Drops the keys last changed before object number `oldest`.
    void expireBefore(uint64_t oldest);

private:
    void apply(const ClaimBatch&);
    void apply(const ClaimRecord&);

    std::unordered_map<base::IdempotencyKey, KeyState> m_keys;
    std::deque<ClaimRecord> m_waiting;
    ClaimBatch m_inFlight;
    std::vector<ClaimRecord> m_applied;
    uint64_t m_nextNumber = 0;
    // None while no call is in flight.
    LogCallKind m_callInFlight = LogCallKind::None;
    bool m_isLoaded = false;
    // Whether the next number may be taken already, so that it is read before an object is created.
    bool m_mustRead = true;
    bool m_isRefreshWanted = false;
};

} // namespace redwingseam::claim
