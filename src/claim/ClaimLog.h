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

// One node's copy of an append-only log of claims, kept in the platform as numbered objects.
//
// Any node may append: an object is made by create-if-absent under the next number, so the sequence
// orders all claims and the first claim on a key wins. A node that meets a number which is taken reads
// it, and learns whose claims went first. A lost answer is settled by the same read: a claim belongs
// to the holder that is written in it, whichever call brought it there. At most one call is under way.
// Not synchronised: it lies in a shard.
class ClaimLog {
public:
    // Adds a record to the next append.
    void enqueue(ClaimRecord);
    // Takes back claims that have not been put into an append yet. Returns whether there was one.
    bool withdraw(const base::IdempotencyKey&, uint64_t holder);

    // Asks for the log to be read to its end, though there is nothing to append.
    void refresh() { m_isRefreshWanted = true; }

    // Next call to make; step None while one is under way or nothing is to be done.
    LogCall nextCall();

    // Results of the call under way. Each returns nothing; `takeDecided` tells what they settled.
    void onCheckpoint(const std::optional<Checkpoint>&);
    void onCreated();
    void onConflict();
    void onRead(const std::optional<ClaimBatch>&);
    // The call's effect is not known: the number is read before anything else is done.
    void onOutcomeUnknown();

    // Records of the log that took effect since the last call, in order.
    std::vector<ClaimRecord> takeDecided() { return std::exchange(m_decided, {}); }

    const KeyState* find(const base::IdempotencyKey&) const;
    bool isLoaded() const { return m_isLoaded; }
    uint64_t nextNumber() const { return m_nextNumber; }
    size_t keyCount() const { return m_keys.size(); }
    size_t waiting() const { return m_waiting.size() + m_inFlight.records.size(); }

    // State up to now; keys last changed before number `oldest` are left out if they are decided.
    Checkpoint checkpoint(uint64_t oldest) const;
    void expireBefore(uint64_t oldest);

private:
    void apply(const ClaimBatch&);
    void apply(const ClaimRecord&);

    std::unordered_map<base::IdempotencyKey, KeyState> m_keys;
    std::deque<ClaimRecord> m_waiting;
    ClaimBatch m_inFlight;
    std::vector<ClaimRecord> m_decided;
    uint64_t m_nextNumber = 0;
    AppendStep m_step = AppendStep::None;
    bool m_isLoaded = false;
    bool m_mustRead = true;
    bool m_isRefreshWanted = false;
};

} // namespace redwingseam::claim
