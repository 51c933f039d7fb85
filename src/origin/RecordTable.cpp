#include "origin/RecordTable.h"

namespace redwingseam::origin {

void RecordTable::recordSent(const StreamRecord& record, base::Instant now)
{
    withEntries(record.attempt, [&](EntryMap& entries) {
        auto& entry = entries[record.attempt];
        bool isSame = entry.isOwn && entry.origin == record.origin;
        entry = { record.origin, now, true, isSame && entry.isWritten };
    });
}

void RecordTable::learn(const StreamRecord& record, bool isOwn, base::Instant now)
{
    withEntries(record.attempt, [&](EntryMap& entries) { entries.try_emplace(record.attempt, RecordEntry { record.origin, now, isOwn, isOwn }); });
}

std::optional<StreamOrigin> RecordTable::find(const base::ClientAttemptId& attempt)
{
    return withEntries(attempt, [&](EntryMap& entries) {
        auto found = entries.find(attempt);
        return found == entries.end() ? std::nullopt : std::optional(found->second.origin);
    });
}

void RecordTable::markWritten(const std::vector<StreamRecord>& records)
{
    for (const auto& record : records) {
        withEntries(record.attempt, [&](EntryMap& entries) {
            auto found = entries.find(record.attempt);
            if (found != entries.end() && found->second.origin == record.origin)
                found->second.isWritten = true;
        });
    }
}

void RecordTable::markAllUnwritten()
{
    m_entries.forEach([](EntryMap& entries) {
        for (auto& item : entries)
            item.second.isWritten = false;
    });
}

} // namespace redwingseam::origin
