#pragma once

#include "origin/RecordEntry.h"
#include "origin/StreamRecord.h"
#include "redwingseam/base/Sharded.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace redwingseam::origin {

// The streams of which this node knows where they began, for as long as their clients may take them up. Thread-safe: sharded,
// with a lock per shard.
class RecordTable {
public:
    // Records that this node sends a stream. A later call for the same attempt replaces the origin.
    void recordSent(const StreamRecord&, base::Instant now);
    // Records what another node, or an earlier process of this one, knows.
    void learn(const StreamRecord&, bool isOwn, base::Instant now);
    std::optional<StreamOrigin> find(const base::ClientAttemptId&);
    // Returns this node's own streams of the services for which `isIncluded` returns true, and nothing if all of them are
    // written, unless `wantsAll`. Removes streams that began before `oldest`.
    template<typename Predicate>
    std::vector<StreamRecord> takeUnwritten(base::Instant oldest, bool wantsAll, Predicate&& isIncluded)
    {
        std::vector<StreamRecord> records;
        bool hasUnwritten = false;
        m_entries.forEach([&](EntryMap& entries) {
            std::erase_if(entries, [&](const auto& item) { return item.second.beganAt < oldest; });
            for (const auto& [attempt, entry] : entries) {
                if (!entry.isOwn || !isIncluded(entry.origin.service))
                    continue;
                hasUnwritten = hasUnwritten || !entry.isWritten;
                records.push_back({ attempt, entry.origin });
            }
        });
        return hasUnwritten || wantsAll ? records : std::vector<StreamRecord> {};
    }
    // Records that the store has acknowledged the records. One that has changed since stays unwritten.
    void markWritten(const std::vector<StreamRecord>&);
    // Handles that the store may have lost what it acknowledged.
    void markAllUnwritten();

private:
    using EntryMap = std::unordered_map<base::ClientAttemptId, RecordEntry>;

    template<typename Function>
    decltype(auto) withEntries(const base::ClientAttemptId& attempt, Function&& function)
    {
        return m_entries.with(std::hash<base::ClientAttemptId> {}(attempt), std::forward<Function>(function));
    }

    base::Sharded<EntryMap> m_entries;
};

} // namespace redwingseam::origin
