#pragma once

#include "schedule/QueuedWork.h"

#include <concepts>
#include <optional>

namespace redwingseam::schedule {

// Queue that determines the order in which work is dispatched. `pop` returns work of the given rank or a
// higher one. Not synchronised: the lock of the owning shard guards it.
template<typename T>
concept WorkQueue = requires(T& queue, const T& constQueue, QueuedWork work, base::Instant now, base::RequestId request)
{
    queue.push(std::move(work));
    {
        queue.pop(base::Rank::Deferrable)
        } -> std::same_as<std::optional<QueuedWork>>;
    // Returns the next interrupted stream, of the highest rank that has one.
    {
        queue.popResume()
        } -> std::same_as<std::optional<QueuedWork>>;
    {
        queue.expire(now)
        } -> std::same_as<std::vector<QueuedWork>>;
    {
        queue.remove(request)
        } -> std::same_as<bool>;
    {
        constQueue.size()
        } -> std::same_as<size_t>;
    {
        constQueue.waiting(base::Rank::Urgent)
        } -> std::same_as<size_t>;
};

} // namespace redwingseam::schedule
