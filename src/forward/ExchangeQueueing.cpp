// The part of an Exchange that holds a new stream back until an engine has room, or turns it away.

#include "base/ScaledDuration.h"
#include "forward/Exchange.h"

#include <algorithm>

namespace redwingseam::forward {

using base::scaled;

base::Instant Exchange::latestDispatch() const
{
    auto timeout = deadline() - m_request.arrivedAt;
    return m_request.arrivedAt + std::min(scaled(timeout, m_policy.maxQueueTimeoutShare), scaled(m_request.route->latencyObjective, m_policy.maxQueueObjectives));
}

Step Exchange::placeInTurn(base::Instant now, uint64_t random)
{
    auto isEmpty = [](const ServiceQueue& queue) { return queue.isEmpty(); };
    auto isNext = [&](ServiceQueue& queue) { return queue.isNext(m_request.id, now); };
    bool isTurn = m_queuedWork ? m_queue.with(m_request.service, isNext) : m_queue.with(m_request.service, isEmpty);
    if (isTurn) {
        auto roomQuery = query(now, random);
        roomQuery.requiresRoom = true;
        if (auto placement = m_fleet.place(roomQuery)) {
            auto pause = m_queuedWork ? pauseBetweenDispatches(now) : base::Duration {};
            m_queue.with(m_request.service, [&](ServiceQueue& queue) { queue.recordDispatch(m_request.id, now, pause); });
            m_queuedWork.reset();
            return send(std::move(*placement), now);
        }
        if (!m_fleet.isFull(roomQuery)) {
            leaveQueue();
            return placeOrWait(now, random);
        }
    }
    if (!m_queuedWork)
        return joinQueue(now, random);
    return now < latestDispatch() ? Step {} : refuseUntilRoom(m_policy.retryAfter, now, random);
}

base::Duration Exchange::pauseBetweenDispatches(base::Instant now)
{
    auto engines = std::max<size_t>(1, m_fleet.usableCount(m_request.service, now));
    auto enginesPerNode = static_cast<double>(engines) / std::max(1U, m_fleet.nodeCount());
    auto prefillTime = scaled(m_request.route->latencyObjective, m_policy.prefillObjectiveShare);
    return scaled(prefillTime, 1 / (enginesPerNode * m_policy.queuedShareOfEngines));
}

Step Exchange::joinQueue(base::Instant now, uint64_t random)
{
    schedule::QueuedWork work;
    work.request = m_request.id;
    work.client = m_request.client;
    work.rank = m_request.rank;
    work.cost = std::max<base::TokenCount>(1, m_request.promptTokens + m_request.maxOutputTokens);
    auto wait = m_queue.with(m_request.service, [&](const ServiceQueue& queue) { return queue.expectedWait(work, now); });
    if (wait && now + *wait > latestDispatch())
        return refuseUntilRoom(*wait, now, random);
    if (wait && now + *wait > m_request.latestStart)
        return stopWaiting();
    auto onTimeUntil = m_request.arrivedAt + scaled(m_request.route->latencyObjective, 1 - m_policy.firstEventReserveShare);
    m_queue.with(m_request.service, [&](ServiceQueue& queue) { queue.push(work, onTimeUntil, now); });
    m_queuedWork = std::move(work);
    return {};
}

void Exchange::leaveQueue()
{
    if (!m_queuedWork)
        return;
    m_queue.with(m_request.service, [&](ServiceQueue& queue) { queue.remove(*m_queuedWork); });
    m_queuedWork.reset();
}

base::Duration Exchange::spreadReturn(base::Duration wait, double firstShare, base::Instant now, uint64_t random) const
{
    // More urgent clients return first, each spread over a quarter of the wait.
    static constexpr double shareStep = 0.25;
    static constexpr uint64_t spreadSteps = 1024;
    auto spread = static_cast<double>(random % spreadSteps) / static_cast<double>(spreadSteps);
    auto share = firstShare + shareStep * (static_cast<double>(base::indexOf(m_request.rank)) + spread);
    auto maxShare = firstShare + shareStep * static_cast<double>(base::rankCount);
    // A client that returns later than this has no time left for its answer.
    auto latestReturn = (deadline() - now) / 3;
    return std::max(m_policy.retryAfter, scaled(std::min(wait, scaled(latestReturn, 1 / maxShare)), share));
}

Step Exchange::refuseUntilRoom(base::Duration expectedWait, base::Instant now, uint64_t random) const
{
    // Room may come sooner than expected.
    static constexpr double firstReturnShare = 0.5;
    auto step = refuse(base::ResultCode::QueueFull);
    step.retryAfter = spreadReturn(expectedWait, firstReturnShare, now, random);
    return step;
}

Step Exchange::refuseWhileDeferred(base::Duration wait, base::Instant now, uint64_t random) const
{
    auto step = refuse(base::ResultCode::QueueFull);
    step.retryAfter = spreadReturn(wait, 1, now, random);
    return step;
}

} // namespace redwingseam::forward
