#pragma once

#include "fakes/FakeClock.h"

namespace redwingseam::fakes {

// A FakeClock for code that keeps a copy of its clock.
struct FakeClockHandle {
    const FakeClock* clock = nullptr;

    base::Instant now() const { return clock->now(); }
};

} // namespace redwingseam::fakes
