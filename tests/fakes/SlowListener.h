#pragma once

#include <poll.h>

namespace redwingseam::fakes {

// A listener that takes some time to hand over its waiting connections.
struct SlowListener {
    void close() const { poll(nullptr, 0, closeMillis); }

    int closeMillis = 0;
};

} // namespace redwingseam::fakes
