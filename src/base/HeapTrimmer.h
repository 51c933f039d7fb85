#pragma once

#include "redwingseam/base/Instant.h"
#include "redwingseam/base/Mutex.h"

#include <cstddef>

namespace redwingseam::base {

// Returns memory to the system after a crowd of clients has left. The allocator keeps what many small buffers took.
// Thread-safe.
class HeapTrimmer {
public:
    // Must be called now and then with the bytes that are buffered, and the most that were since the last call.
    void update(size_t peakBytes, size_t usedBytes, Instant now);

private:
    // Less is soon needed again.
    static constexpr size_t minReturnedBytes = 2 * 1024 * 1024;
    static constexpr Duration minInterval = std::chrono::seconds(2);

    // The last connections of a crowd close later than most.
    static constexpr unsigned repeats = 3;

    Mutex m_mutex;
    size_t m_peak = 0;
    unsigned m_repeatsLeft = 0;
    Instant m_trimmedAt {};
};

} // namespace redwingseam::base
