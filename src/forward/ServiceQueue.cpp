#include "forward/ServiceQueue.h"

#include <algorithm>

namespace redwingseam::forward {

void ServiceQueue::push(schedule::QueuedWork work, base::Instant onTimeUntil, base::Instant now)
{
    if (isEmpty())
        m_rate.start(now);
    m_waitingCost[base::indexOf(work.rank)] += work.cost;
    auto& client = m_clients[work.client];
    ++client.requests;
    client.cost += work.cost;
    work.deadline = onTimeUntil;
    (onTimeUntil > now ? m_onTime : m_late).push(std::move(work));
}

void ServiceQueue::expire(base::Instant now)
{
    for (auto& work : m_onTime.expire(now))
        m_late.push(std::move(work));
}

static size_t highestRank(const schedule::FairQueue& queue)
{
    size_t rank = 0;
    while (rank < base::rankCount && !queue.waiting(static_cast<base::Rank>(rank)))
        ++rank;
    return rank;
}

std::optional<schedule::QueuedWork> ServiceQueue::pop()
{
    if (!m_late.size() || !m_onTime.size())
        return m_late.size() ? m_late.pop() : m_onTime.pop();
    bool isLateFirst = highestRank(m_late) < highestRank(m_onTime);
    if ((m_dispatches + 1) % otherGroupInterval == 0)
        isLateFirst = !isLateFirst;
    return isLateFirst ? m_late.pop() : m_onTime.pop();
}

bool ServiceQueue::isNext(base::RequestId request, base::Instant now)
{
    expire(now);
    if (!m_next)
        m_next = pop();
    return m_next && m_next->request == request && now >= m_nextTurnAt;
}

void ServiceQueue::subtractCost(const schedule::QueuedWork& work)
{
    m_waitingCost[base::indexOf(work.rank)] -= work.cost;
    auto client = m_clients.find(work.client);
    client->second.cost -= work.cost;
    if (!--client->second.requests)
        m_clients.erase(client);
}

void ServiceQueue::recordDispatch(base::RequestId request, base::Instant now, base::Duration pause)
{
    if (!m_next || m_next->request != request)
        return;
    m_nextTurnAt = now + pause;
    m_rate.recordDispatch(m_next->cost);
    ++m_dispatches;
    subtractCost(*m_next);
    m_next.reset();
}

void ServiceQueue::remove(const schedule::QueuedWork& work)
{
    subtractCost(work);
    if (m_next && m_next->request == work.request)
        m_next.reset();
    else if (!m_onTime.remove(work.request))
        m_late.remove(work.request);
}

base::TokenCount ServiceQueue::costAhead(const schedule::QueuedWork& work) const
{
    auto rank = base::indexOf(work.rank);
    base::TokenCount byRank;
    for (size_t index = 0; index <= rank; ++index)
        byRank += m_waitingCost[index];
    auto client = m_clients.find(work.client);
    bool isWaiting = client != m_clients.end();
    auto clients = m_clients.size() + (isWaiting ? 0 : 1);
    auto ownCost = isWaiting ? client->second.cost : base::TokenCount {};
    base::TokenCount byClient = ownCost.value() * clients + work.cost.value() * (clients - 1);
    auto ahead = std::min(byRank, byClient);
    static constexpr uint64_t permille = 1000;
    auto floor = static_cast<uint64_t>(m_onTime.floors().permille[rank]);
    return floor ? std::min(ahead, base::TokenCount((m_waitingCost[rank] + work.cost).value() * permille / floor)) : ahead;
}

std::optional<base::Duration> ServiceQueue::expectedWait(const schedule::QueuedWork& work, base::Instant now) const
{
    return m_rate.timeFor(costAhead(work) + work.cost, now);
}

} // namespace redwingseam::forward
