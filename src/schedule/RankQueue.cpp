#include "schedule/RankQueue.h"

#include <algorithm>

namespace redwingseam::schedule {

// Fixed-point scale that keeps cost divided by weight from rounding to 0.
static constexpr uint64_t virtualTimeScale = 1000;
// Idle clients are evicted once there are more clients than this, so memory is bounded by the active ones.
static constexpr size_t idleEvictionThreshold = 8192;

static uint64_t virtualCost(base::TokenCount cost, int64_t weight)
{
    return std::max<uint64_t>(1, cost.value() * virtualTimeScale / static_cast<uint64_t>(std::max<int64_t>(1, weight)));
}

void RankQueue::push(QueuedWork work)
{
    ++m_size;
    if (work.isResume) {
        m_resumes.push_back(std::move(work));
        return;
    }
    auto& queue = m_clients[work.client];
    if (queue.work.empty()) {
        queue.startTag = std::max(queue.startTag, m_virtualTime);
        m_clientsByStartTag.emplace(queue.startTag, work.client);
    }
    queue.work.push_back(std::move(work));
}

std::optional<QueuedWork> RankQueue::pop()
{
    if (!m_size)
        return std::nullopt;
    --m_size;
    if (m_resumes.empty())
        return popFairly();
    auto work = std::move(m_resumes.front());
    m_resumes.pop_front();
    return work;
}

std::optional<QueuedWork> RankQueue::popResume()
{
    auto found = std::find_if(m_resumes.begin(), m_resumes.end(), [](const QueuedWork& work) { return !work.isPreempted; });
    if (found == m_resumes.end())
        return std::nullopt;
    --m_size;
    auto work = std::move(*found);
    m_resumes.erase(found);
    return work;
}

QueuedWork RankQueue::popFairly()
{
    auto first = m_clientsByStartTag.begin();
    auto client = first->second;
    m_virtualTime = std::max(m_virtualTime, first->first);
    m_clientsByStartTag.erase(first);
    auto& queue = m_clients[client];
    auto work = std::move(queue.work.front());
    queue.work.pop_front();
    queue.startTag += virtualCost(work.cost, work.weight);
    if (!queue.work.empty())
        m_clientsByStartTag.emplace(queue.startTag, client);
    else if (m_clients.size() > idleEvictionThreshold)
        evictIdleClients();
    return work;
}

std::optional<base::TokenCount> RankQueue::headCost() const
{
    if (!m_resumes.empty())
        return m_resumes.front().cost;
    if (m_clientsByStartTag.empty())
        return std::nullopt;
    return m_clients.at(m_clientsByStartTag.begin()->second).work.front().cost;
}

std::vector<QueuedWork> RankQueue::expire(base::Instant now)
{
    std::vector<QueuedWork> expired;
    for (auto& [client, queue] : m_clients) {
        auto isLate = [&](const QueuedWork& work) { return work.deadline <= now; };
        if (std::none_of(queue.work.begin(), queue.work.end(), isLate))
            continue;
        m_clientsByStartTag.erase({ queue.startTag, client });
        auto late = std::stable_partition(queue.work.begin(), queue.work.end(), std::not_fn(isLate));
        std::move(late, queue.work.end(), std::back_inserter(expired));
        queue.work.erase(late, queue.work.end());
        if (!queue.work.empty())
            m_clientsByStartTag.emplace(queue.startTag, client);
    }
    m_size -= expired.size();
    return expired;
}

bool RankQueue::remove(base::RequestId request)
{
    auto isRequested = [&](const QueuedWork& work) { return work.request == request; };
    if (std::erase_if(m_resumes, isRequested)) {
        --m_size;
        return true;
    }
    for (auto& [client, queue] : m_clients) {
        if (!std::erase_if(queue.work, isRequested))
            continue;
        --m_size;
        if (queue.work.empty())
            m_clientsByStartTag.erase({ queue.startTag, client });
        return true;
    }
    return false;
}

size_t RankQueue::waitingForClient(const base::ClientName& client) const
{
    auto found = m_clients.find(client);
    return found == m_clients.end() ? 0 : found->second.work.size();
}

void RankQueue::charge(const base::ClientName& client, base::TokenCount cost, int64_t weight)
{
    auto& queue = m_clients[client];
    bool isWaiting = !queue.work.empty();
    if (isWaiting)
        m_clientsByStartTag.erase({ queue.startTag, client });
    queue.startTag = std::max(queue.startTag, m_virtualTime) + virtualCost(cost, weight);
    if (isWaiting)
        m_clientsByStartTag.emplace(queue.startTag, client);
}

void RankQueue::evictIdleClients()
{
    std::erase_if(m_clients, [&](const auto& entry) {
        return entry.second.work.empty() && entry.second.startTag <= m_virtualTime;
    });
}

} // namespace redwingseam::schedule
