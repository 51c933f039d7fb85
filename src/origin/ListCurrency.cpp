#include "origin/ListCurrency.h"

#include <algorithm>

namespace redwingseam::origin {

static void raise(std::atomic<base::Instant>& latest, base::Instant at)
{
    auto before = latest.load();
    while (before < at && !latest.compare_exchange_weak(before, at)) { }
}

bool ListCurrency::covers(base::Instant arrivedAt) const
{
    return std::max(m_fleet.listedAt(), m_checkedAt.load()) >= arrivedAt;
}

void ListCurrency::requestCheck(base::Instant arrivedAt, base::Instant now)
{
    raise(m_latestArrival, arrivedAt);
    raise(m_requestedAt, now);
}

bool ListCurrency::isCheckNeeded(base::Instant now) const
{
    return now - m_requestedAt.load() < requestLifetime && !covers(m_latestArrival);
}

void ListCurrency::recordCheck(base::Instant beganAt)
{
    raise(m_checkedAt, beganAt);
}

} // namespace redwingseam::origin
