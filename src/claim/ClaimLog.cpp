#include "claim/ClaimLog.h"

#include <algorithm>

namespace redwingseam::claim {

// Keeps an object well under the platform's limit of one megabyte.
static constexpr size_t maxRecordsPerBatch = 256;

void ClaimLog::enqueue(ClaimRecord record)
{
    m_waiting.push_back(std::move(record));
}

bool ClaimLog::withdraw(const base::IdempotencyKey& key, uint64_t holder)
{
    return std::erase_if(m_waiting, [&](const ClaimRecord& record) {
        return record.kind == RecordKind::Claimed && record.key == key && record.holder == holder;
    }) > 0;
}

LogCall ClaimLog::nextCall()
{
    if (m_callInFlight != LogCallKind::None)
        return {};
    bool hasWork = !m_waiting.empty() || !m_inFlight.records.empty();
    if (!hasWork && !m_isRefreshWanted)
        return {};
    if (!m_isLoaded) {
        m_callInFlight = LogCallKind::ReadCheckpoint;
        return { m_callInFlight, 0, {} };
    }
    if (m_mustRead || !hasWork) {
        m_callInFlight = LogCallKind::Read;
        return { m_callInFlight, m_nextNumber, {} };
    }
    while (!m_waiting.empty() && m_inFlight.records.size() < maxRecordsPerBatch) {
        m_inFlight.records.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    m_callInFlight = LogCallKind::Create;
    return { m_callInFlight, m_nextNumber, m_inFlight };
}

void ClaimLog::onCheckpoint(const std::optional<Checkpoint>& checkpoint)
{
    m_callInFlight = LogCallKind::None;
    m_isLoaded = true;
    if (!checkpoint || checkpoint->nextNumber < m_nextNumber)
        return;
    m_nextNumber = checkpoint->nextNumber;
    for (const auto& record : checkpoint->records)
        m_keys[record.key] = { record.kind, record.holder, record.response, m_nextNumber };
}

void ClaimLog::onCreated()
{
    m_callInFlight = LogCallKind::None;
    apply(std::exchange(m_inFlight, {}));
}

void ClaimLog::onConflict()
{
    m_callInFlight = LogCallKind::None;
    m_mustRead = true;
}

void ClaimLog::onRead(const std::optional<ClaimBatch>& batch)
{
    m_callInFlight = LogCallKind::None;
    if (!batch) {
        // No object has this number, so this is the end of the log.
        m_mustRead = false;
        m_isRefreshWanted = false;
        return;
    }
    // A call of this node whose reply was lost may have created this object, with the whole batch or with an
    // earlier, smaller one.
    std::erase_if(m_inFlight.records, [&](const ClaimRecord& record) {
        return std::find(batch->records.begin(), batch->records.end(), record) != batch->records.end();
    });
    apply(*batch);
}

void ClaimLog::onOutcomeUnknown()
{
    m_callInFlight = LogCallKind::None;
    m_mustRead = true;
}

const KeyState* ClaimLog::find(const base::IdempotencyKey& key) const
{
    auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &found->second;
}

void ClaimLog::apply(const ClaimBatch& batch)
{
    for (const auto& record : batch.records)
        apply(record);
    ++m_nextNumber;
}

void ClaimLog::apply(const ClaimRecord& record)
{
    auto [slot, isNew] = m_keys.try_emplace(record.key);
    auto& state = slot->second;
    bool isFree = isNew || state.kind == RecordKind::Abandoned;
    bool isOfHolder = !isNew && state.kind == RecordKind::Claimed && state.holder == record.holder;
    bool takesEffect = record.kind == RecordKind::Claimed ? isFree : isOfHolder;
    if (takesEffect)
        state = { record.kind, record.holder, record.response, m_nextNumber };
    else if (isNew)
        m_keys.erase(slot);
    // takeApplied() returns a record without effect too, because its writer must learn that the claim failed.
    m_applied.push_back(record);
}

Checkpoint ClaimLog::checkpoint(uint64_t oldest) const
{
    Checkpoint result { m_nextNumber, {} };
    for (const auto& [key, state] : m_keys) {
        if (state.lastObjectNumber >= oldest)
            result.records.push_back({ state.kind, key, state.holder, state.response });
    }
    return result;
}

void ClaimLog::expireBefore(uint64_t oldest)
{
    std::erase_if(m_keys, [&](const auto& item) { return item.second.lastObjectNumber < oldest; });
}

} // namespace redwingseam::claim
