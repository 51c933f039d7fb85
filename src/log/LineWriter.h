#pragma once

#include "base/Condition.h"
#include "base/NamedThread.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <string>

namespace redwingseam::log {

// Writes lines to a descriptor from a thread of its own. A line that does not fit the bounded queue is
// dropped and counted, so that whoever logs never waits. Thread-safe.
class LineWriter {
public:
    explicit LineWriter(int descriptor);
    // Writes what is queued.
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    // Queues a line that ends with a newline. Routine lines are dropped first.
    void write(std::string_view line, bool isRoutine);
    uint64_t droppedLines();

private:
    // Holds some seconds of a busy process's lines.
    static constexpr size_t maxQueueBytes = 1024 * 1024;
    // The rest is kept for warnings and errors.
    static constexpr size_t maxRoutineBytes = maxQueueBytes / 2;
    // Gathers lines, so that a busy process writes in larger pieces.
    static constexpr base::Duration flushInterval = std::chrono::milliseconds(200);

    void run();
    void writeAll(std::string_view) const;

    int m_descriptor;
    base::Mutex m_mutex;
    base::Condition m_queueChanged;
    std::string m_queue;
    uint64_t m_droppedLines = 0;
    uint64_t m_unreportedDrops = 0;
    bool m_isStopping = false;
    base::NamedThread m_thread;
};

} // namespace redwingseam::log
