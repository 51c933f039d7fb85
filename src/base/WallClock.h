#pragma once

#include <chrono>
#include <cstdint>

namespace redwingseam::base {

// The time of day, which differs between machines and may jump. Only for times that outlive the process. Thread-safe.
class WallClock {
public:
    // Returns milliseconds since 1970.
    uint64_t now() const { return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()); }
};

} // namespace redwingseam::base
