#pragma once

#include "fakes/FakeUpstreamStore.h"
#include "redwingseam/base/BootClock.h"

#include <thread>

namespace redwingseam::fakes {

// As FakeUpstreamStore, but the response to a watch arrives some time after it was made, as over a full link or at a process
// that stands still.
struct LateUpstreamStore : FakeUpstreamStore {
    base::Duration delay {};
    // When the last watch was answered.
    base::Instant answeredAt {};

    base::Result<sync::UpstreamWatchResult> watchUpstreams(uint64_t revision, base::Duration timeout)
    {
        auto result = FakeUpstreamStore::watchUpstreams(revision, timeout);
        answeredAt = base::BootClock {}.now();
        std::this_thread::sleep_for(delay);
        return result;
    }
};

} // namespace redwingseam::fakes
