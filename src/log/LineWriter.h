#pragma once

#include "base/Condition.h"
#include "base/NamedThread.h"
#include "redwingseam/base/Mutex.h"

#include <cstdint>
#include <string>

namespace redwingseam::log {

// Writes lines to a file descriptor from its own thread. A line that does not fit into the bounded queue is
// dropped and counted, so that logging never blocks. Thread-safe.
class LineWriter {
public:
    explicit LineWriter(int descriptor);
    // Writes the queued lines before it returns.
    ~LineWriter();
    LineWriter(const LineWriter&) = delete;
    LineWriter& operator=(const LineWriter&) = delete;

    // Queues a line, which must end with a newline. Routine lines, which are those of level INFO, are dropped
    // first.
    void enqueue(std::string_view line, bool isRoutine);
    uint64_t droppedLines();

private:
    // Holds a few seconds of the lines of a busy process.
    static constexpr size_t maxQueueBytes = 1024 * 1024;
    // The rest of the queue is reserved for warnings and errors.
    static constexpr size_t maxRoutineBytes = maxQueueBytes / 2;
    // Batches lines, so that a busy process makes fewer and larger writes.
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
