#include "claim/ShardedClaimLog.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::claim {

using store::CallOutcome;

static constexpr base::Duration initialBackoff = std::chrono::milliseconds(50);
static constexpr uint32_t maxDoublings = 6;

size_t ShardedClaimLog::groupOf(const base::IdempotencyKey& key)
{
    return base::hashBytes(key.text) % groupCount;
}

void ShardedClaimLog::append(ClaimRecord record, ClaimWaiter waiter)
{
    m_groups.with(groupOf(record.key), [&](ClaimGroup& group) {
        group.waiters.insert_or_assign(recordIdOf(record), std::move(waiter));
        group.log.enqueue(std::move(record));
    });
}

void ShardedClaimLog::relay(ClaimRecord record, ClaimWaiter waiter, base::Instant now)
{
    m_groups.with(groupOf(record.key), [&](ClaimGroup& group) {
        auto recordId = recordIdOf(record);
        group.relayed.insert_or_assign(std::move(recordId), RelayedRecord { std::move(record), std::move(waiter), now });
    });
}

std::optional<ClaimNotice> ShardedClaimLog::onDecided(const ClaimRecordId& recordId, const ClaimRecord& effectiveRecord)
{
    return m_groups.with(groupOf(recordId.key), [&](ClaimGroup& group) -> std::optional<ClaimNotice> {
        auto found = group.relayed.find(recordId);
        if (found == group.relayed.end())
            return std::nullopt;
        ClaimNotice notice { recordId, effectiveRecord, found->second.waiter };
        group.relayed.erase(found);
        return notice;
    });
}

void ShardedClaimLog::withdraw(const ClaimRecordId& recordId)
{
    m_groups.with(groupOf(recordId.key), [&](ClaimGroup& group) {
        bool wasNeverSent = group.log.withdraw(recordId.key, recordId.holder);
        if (!wasNeverSent)
            group.withdrawn.insert(recordId);
    });
}

bool ShardedClaimLog::takeWithdrawn(const ClaimRecordId& recordId)
{
    return m_groups.with(groupOf(recordId.key), [&](ClaimGroup& group) { return group.withdrawn.erase(recordId) > 0; });
}

static ClaimRecord effectiveRecordOf(const ClaimLog& log, const ClaimRecord& record)
{
    const auto* state = log.find(record.key);
    return state ? ClaimRecord { state->kind, record.key, state->holder, state->response } : record;
}

std::optional<ClaimRecord> ShardedClaimLog::awaitOutcome(const base::IdempotencyKey& key, base::RequestId request, base::Instant deadline)
{
    return m_groups.with(groupOf(key), [&](ClaimGroup& group) -> std::optional<ClaimRecord> {
        const auto* state = group.log.find(key);
        if (state && state->kind != RecordKind::Claimed)
            return ClaimRecord { state->kind, key, state->holder, state->response };
        group.outcomeWaiters.push_back({ key, request, deadline });
        return std::nullopt;
    });
}

void ShardedClaimLog::expireKeys(ClaimGroup& group, base::Instant now)
{
    if (group.marks.empty() || now - group.marks.back().at >= markInterval)
        group.marks.push_back({ now, group.log.nextNumber() });
    while (now - group.marks.front().at > keyRetention) {
        group.log.expireBefore(group.marks.front().nextNumber);
        group.marks.pop_front();
    }
}

void ShardedClaimLog::refreshForWaiters(ClaimGroup& group, base::Instant now)
{
    std::erase_if(group.outcomeWaiters, [&](const OutcomeWaiter& waiter) { return waiter.deadline <= now; });
    if (group.outcomeWaiters.empty() || now < group.nextRefreshAt)
        return;
    group.nextRefreshAt = now + refreshInterval;
    group.log.refresh();
}

void ShardedClaimLog::notifyOutcomeWaiters(ClaimGroup& group, const ClaimRecord& record, std::vector<ClaimNotice>& notices)
{
    if (record.kind == RecordKind::Claimed)
        return;
    std::erase_if(group.outcomeWaiters, [&](const OutcomeWaiter& waiter) {
        if (waiter.key != record.key)
            return false;
        notices.push_back({ recordIdOf(record), effectiveRecordOf(group.log, record), { waiter.request, {} } });
        return true;
    });
}

LogCall ShardedClaimLog::poll(size_t index, base::Instant now)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> LogCall {
        expireKeys(group, now);
        refreshForWaiters(group, now);
        if (now < group.nextCallAt)
            return {};
        return group.log.nextCall();
    });
}

std::vector<ClaimNotice> ShardedClaimLog::onCheckpoint(size_t index, CallOutcome outcome, base::ObjectVersion version, const std::optional<Checkpoint>& checkpoint, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        if (outcome != CallOutcome::Done && outcome != CallOutcome::Absent) {
            group.log.onOutcomeUnknown();
            backOff(group, now, jitter);
            return {};
        }
        group.consecutiveFailures = 0;
        group.log.onCheckpoint(checkpoint);
        group.checkpointNumber = group.log.nextNumber();
        group.checkpointVersion = version;
        return {};
    });
}

std::vector<ClaimNotice> ShardedClaimLog::onRead(size_t index, CallOutcome outcome, const std::optional<ClaimBatch>& batch, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        bool isAnswered = outcome == CallOutcome::Absent || (outcome == CallOutcome::Done && batch);
        if (!isAnswered) {
            group.log.onOutcomeUnknown();
            backOff(group, now, jitter);
            return {};
        }
        group.consecutiveFailures = 0;
        group.log.onRead(batch);
        return takeNotices(group);
    });
}

std::vector<ClaimNotice> ShardedClaimLog::onCreated(size_t index, CallOutcome outcome, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        if (outcome == CallOutcome::Done) {
            group.consecutiveFailures = 0;
            group.nextCallAt = now + appendInterval;
            group.log.onCreated();
            return takeNotices(group);
        }
        if (outcome == CallOutcome::Conflict) {
            group.log.onConflict();
            return {};
        }
        group.log.onOutcomeUnknown();
        backOff(group, now, jitter);
        return {};
    });
}

void ShardedClaimLog::appendOverdueRelayed(size_t index, base::Instant now)
{
    m_groups.with(index, [&](ClaimGroup& group) {
        std::erase_if(group.relayed, [&](const auto& item) {
            if (now - item.second.sentAt < relayTimeout)
                return false;
            group.waiters.insert_or_assign(item.first, item.second.waiter);
            group.log.enqueue(item.second.record);
            return true;
        });
    });
}

std::optional<Checkpoint> ShardedClaimLog::dueCheckpoint(size_t index, base::ObjectVersion& replacedVersion)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::optional<Checkpoint> {
        if (!group.log.isLoaded() || group.log.nextNumber() < group.checkpointNumber + checkpointInterval)
            return std::nullopt;
        group.checkpointNumber = group.log.nextNumber();
        replacedVersion = group.checkpointVersion;
        return group.log.checkpoint(0);
    });
}

void ShardedClaimLog::onCheckpointStored(size_t index, CallOutcome outcome, base::ObjectVersion version)
{
    m_groups.with(index, [&](ClaimGroup& group) {
        // The reply contains the current version also after a conflict. After a lost reply the version is
        // outdated until the next write conflicts.
        if (outcome == CallOutcome::Done || outcome == CallOutcome::Conflict)
            group.checkpointVersion = version;
    });
}

size_t ShardedClaimLog::pending()
{
    size_t total = 0;
    m_groups.forEach([&](ClaimGroup& group) { total += group.log.pendingCount() + group.relayed.size(); });
    return total;
}

std::vector<ClaimNotice> ShardedClaimLog::takeNotices(ClaimGroup& group)
{
    std::vector<ClaimNotice> notices;
    for (const auto& record : group.log.takeApplied()) {
        notifyOutcomeWaiters(group, record, notices);
        auto recordId = recordIdOf(record);
        auto waiter = group.waiters.find(recordId);
        if (waiter == group.waiters.end())
            continue;
        notices.push_back({ std::move(recordId), effectiveRecordOf(group.log, record), std::move(waiter->second) });
        group.waiters.erase(waiter);
    }
    return notices;
}

void ShardedClaimLog::backOff(ClaimGroup& group, base::Instant now, uint64_t jitter)
{
    auto wait = initialBackoff * (1U << std::min(group.consecutiveFailures, maxDoublings));
    ++group.consecutiveFailures;
    // Waits between half and all of the backoff, so that nodes do not retry all at once.
    auto spread = std::max<int64_t>(1, wait.count() / 2);
    group.nextCallAt = now + wait / 2 + base::Duration(static_cast<int64_t>(jitter % static_cast<uint64_t>(spread)));
}

} // namespace redwingseam::claim
