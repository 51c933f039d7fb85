#pragma once

#include "schedule/QueuedWork.h"

#include <concepts>
#include <optional>

namespace redwingseam::schedule {

// Queue that determines the order in which work is dispatched. Not thread-safe: the lock of the owning shard
// guards it.
template<typename T>
concept WorkQueue = requires(T& queue, const T& constQueue, QueuedWork work, base::Instant now, base::RequestId request)
{
    queue.push(std::move(work));
    // Removes and returns the next work of the given rank or a higher one.
    {
        queue.pop(base::Rank::Deferrable)
        } -> std::same_as<std::optional<QueuedWork>>;
    // Removes and returns the next resumed work that was not preempted, of the highest rank that has any.
    {
        queue.popResume()
        } -> std::same_as<std::optional<QueuedWork>>;
    // Removes and returns new work whose deadline has passed. Resumed work does not expire.
    {
        queue.expire(now)
        } -> std::same_as<std::vector<QueuedWork>>;
    // Removes the work of a request. Returns whether it was queued.
    {
        queue.remove(request)
        } -> std::same_as<bool>;
    {
        constQueue.size()
        } -> std::same_as<size_t>;
    // Returns the number of queued items of one rank.
    {
        constQueue.waiting(base::Rank::Urgent)
        } -> std::same_as<size_t>;
};

} // namespace redwingseam::schedule
