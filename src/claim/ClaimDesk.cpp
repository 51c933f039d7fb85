#include "claim/ClaimDesk.h"

#include "base/Hash.h"

#include <algorithm>

namespace redwingseam::claim {

using store::CallOutcome;

static constexpr base::Duration firstBackoff = std::chrono::milliseconds(50);
static constexpr uint32_t mostDoublings = 6;

size_t ClaimDesk::groupOf(const base::IdempotencyKey& key)
{
    return base::hashBytes(key.text) % groupCount;
}

void ClaimDesk::append(ClaimRecord record, ClaimWaiter waiter)
{
    m_groups.with(groupOf(record.key), [&](ClaimGroup& group) {
        group.waiters.insert_or_assign(ticketOf(record), std::move(waiter));
        group.log.enqueue(std::move(record));
    });
}

void ClaimDesk::relay(ClaimRecord record, ClaimWaiter waiter, base::Instant now)
{
    m_groups.with(groupOf(record.key), [&](ClaimGroup& group) {
        auto ticket = ticketOf(record);
        group.relayed.insert_or_assign(std::move(ticket), RelayedRecord { std::move(record), std::move(waiter), now });
    });
}

std::optional<ClaimNotice> ClaimDesk::onDecided(const ClaimTicket& ticket, const ClaimRecord& inForce)
{
    return m_groups.with(groupOf(ticket.key), [&](ClaimGroup& group) -> std::optional<ClaimNotice> {
        auto found = group.relayed.find(ticket);
        if (found == group.relayed.end())
            return std::nullopt;
        ClaimNotice notice { ticket, inForce, found->second.waiter };
        group.relayed.erase(found);
        return notice;
    });
}

void ClaimDesk::withdraw(const ClaimTicket& ticket)
{
    m_groups.with(groupOf(ticket.key), [&](ClaimGroup& group) {
        bool wasNeverSent = group.log.withdraw(ticket.key, ticket.holder);
        if (!wasNeverSent)
            group.withdrawn.insert(ticket);
    });
}

bool ClaimDesk::takeWithdrawn(const ClaimTicket& ticket)
{
    return m_groups.with(groupOf(ticket.key), [&](ClaimGroup& group) { return group.withdrawn.erase(ticket) > 0; });
}

static ClaimRecord inForceOf(const ClaimLog& log, const ClaimRecord& record)
{
    const auto* state = log.find(record.key);
    return state ? ClaimRecord { state->kind, record.key, state->holder, state->answer } : record;
}

std::optional<ClaimRecord> ClaimDesk::awaitOutcome(const base::IdempotencyKey& key, base::RequestId request, base::Instant deadline)
{
    return m_groups.with(groupOf(key), [&](ClaimGroup& group) -> std::optional<ClaimRecord> {
        const auto* state = group.log.find(key);
        if (state && state->kind != RecordKind::Claimed)
            return ClaimRecord { state->kind, key, state->holder, state->answer };
        group.outcomeWaiters.push_back({ key, request, deadline });
        return std::nullopt;
    });
}

void ClaimDesk::forgetOldKeys(ClaimGroup& group, base::Instant now)
{
    if (group.marks.empty() || now - group.marks.back().at >= markInterval)
        group.marks.push_back({ now, group.log.nextNumber() });
    while (now - group.marks.front().at > keyRetention) {
        group.log.forgetBefore(group.marks.front().number);
        group.marks.pop_front();
    }
}

void ClaimDesk::refreshForWaiters(ClaimGroup& group, base::Instant now)
{
    std::erase_if(group.outcomeWaiters, [&](const OutcomeWaiter& waiter) { return waiter.deadline <= now; });
    if (group.outcomeWaiters.empty() || now < group.nextRefresh)
        return;
    group.nextRefresh = now + refreshInterval;
    group.log.refresh();
}

void ClaimDesk::noticeOutcome(ClaimGroup& group, const ClaimRecord& record, std::vector<ClaimNotice>& notices)
{
    if (record.kind == RecordKind::Claimed)
        return;
    std::erase_if(group.outcomeWaiters, [&](const OutcomeWaiter& waiter) {
        if (waiter.key != record.key)
            return false;
        notices.push_back({ ticketOf(record), inForceOf(group.log, record), { waiter.request, {} } });
        return true;
    });
}

LogCall ClaimDesk::poll(size_t index, base::Instant now)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> LogCall {
        forgetOldKeys(group, now);
        refreshForWaiters(group, now);
        if (now < group.notBefore)
            return {};
        return group.log.nextCall();
    });
}

std::vector<ClaimNotice> ClaimDesk::onCheckpoint(size_t index, CallOutcome outcome, base::ObjectVersion version, const std::optional<Checkpoint>& checkpoint, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        if (outcome != CallOutcome::Done && outcome != CallOutcome::Absent) {
            group.log.onCallLost();
            backOff(group, now, jitter);
            return {};
        }
        group.failures = 0;
        group.log.onCheckpoint(checkpoint);
        group.checkpointedAt = group.log.nextNumber();
        group.checkpointVersion = version;
        return {};
    });
}

std::vector<ClaimNotice> ClaimDesk::onRead(size_t index, CallOutcome outcome, const std::optional<ClaimBatch>& batch, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        bool isAnswered = outcome == CallOutcome::Absent || (outcome == CallOutcome::Done && batch);
        if (!isAnswered) {
            group.log.onCallLost();
            backOff(group, now, jitter);
            return {};
        }
        group.failures = 0;
        group.log.onRead(batch);
        return takeNotices(group);
    });
}

std::vector<ClaimNotice> ClaimDesk::onCreated(size_t index, CallOutcome outcome, base::Instant now, uint64_t jitter)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::vector<ClaimNotice> {
        if (outcome == CallOutcome::Done) {
            group.failures = 0;
            group.notBefore = now + appendInterval;
            group.log.onCreated();
            return takeNotices(group);
        }
        if (outcome == CallOutcome::Conflict) {
            group.log.onTaken();
            return {};
        }
        group.log.onCallLost();
        backOff(group, now, jitter);
        return {};
    });
}

void ClaimDesk::takeBackRelayed(size_t index, base::Instant now)
{
    m_groups.with(index, [&](ClaimGroup& group) {
        std::erase_if(group.relayed, [&](const auto& item) {
            if (now - item.second.sentAt < relayPatience)
                return false;
            group.waiters.insert_or_assign(item.first, item.second.waiter);
            group.log.enqueue(item.second.record);
            return true;
        });
    });
}

std::optional<Checkpoint> ClaimDesk::dueCheckpoint(size_t index, base::ObjectVersion& expected)
{
    return m_groups.with(index, [&](ClaimGroup& group) -> std::optional<Checkpoint> {
        if (!group.log.isLoaded() || group.log.nextNumber() < group.checkpointedAt + checkpointEvery)
            return std::nullopt;
        group.checkpointedAt = group.log.nextNumber();
        expected = group.checkpointVersion;
        return group.log.checkpoint(0);
    });
}

void ClaimDesk::onCheckpointStored(size_t index, CallOutcome outcome, base::ObjectVersion version)
{
    m_groups.with(index, [&](ClaimGroup& group) {
        // After a conflict or a lost answer the version is not known; the store's reply carries it.
        if (outcome == CallOutcome::Done || outcome == CallOutcome::Conflict)
            group.checkpointVersion = version;
    });
}

size_t ClaimDesk::pending()
{
    size_t total = 0;
    m_groups.forEach([&](ClaimGroup& group) { total += group.log.waiting() + group.relayed.size(); });
    return total;
}

std::vector<ClaimNotice> ClaimDesk::takeNotices(ClaimGroup& group)
{
    std::vector<ClaimNotice> notices;
    for (const auto& record : group.log.takeDecided()) {
        noticeOutcome(group, record, notices);
        auto ticket = ticketOf(record);
        auto waiter = group.waiters.find(ticket);
        if (waiter == group.waiters.end())
            continue;
        notices.push_back({ std::move(ticket), inForceOf(group.log, record), std::move(waiter->second) });
        group.waiters.erase(waiter);
    }
    return notices;
}

void ClaimDesk::backOff(ClaimGroup& group, base::Instant now, uint64_t jitter)
{
    auto wait = firstBackoff * (1U << std::min(group.failures, mostDoublings));
    ++group.failures;
    // Anywhere from half to the whole wait, so that nodes do not return all at once.
    auto spread = std::max<int64_t>(1, wait.count() / 2);
    group.notBefore = now + wait / 2 + base::Duration(static_cast<int64_t>(jitter % static_cast<uint64_t>(spread)));
}

} // namespace redwingseam::claim
