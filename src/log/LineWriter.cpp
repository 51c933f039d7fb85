#include "log/LineWriter.h"

#include <cerrno>
#include <mutex>
#include <unistd.h>

namespace redwingseam::log {

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
    , m_thread("log", [this] { run(); })
{
}

LineWriter::~LineWriter()
{
    {
        std::lock_guard guard(m_mutex);
        m_isStopping = true;
    }
    m_queueChanged.signal();
    m_thread.join();
}

void LineWriter::enqueue(std::string_view line, bool isRoutine)
{
    bool wasEmpty = false;
    {
        std::lock_guard guard(m_mutex);
        if (m_queue.size() + line.size() > (isRoutine ? maxRoutineBytes : maxQueueBytes)) {
            ++m_droppedLines;
            ++m_unreportedDrops;
            return;
        }
        wasEmpty = m_queue.empty();
        m_queue.append(line);
    }
    if (wasEmpty)
        m_queueChanged.signal();
}

uint64_t LineWriter::droppedLines()
{
    std::lock_guard guard(m_mutex);
    return m_droppedLines;
}

void LineWriter::run()
{
    std::unique_lock guard(m_mutex);
    while (!m_isStopping || !m_queue.empty()) {
        if (m_queue.empty()) {
            m_queueChanged.wait(m_mutex);
            continue;
        }
        if (!m_isStopping)
            m_queueChanged.waitFor(m_mutex, flushInterval);
        std::string lines;
        lines.swap(m_queue);
        if (m_unreportedDrops)
            lines += "{\"event\":\"log_lines_dropped\",\"count\":" + std::to_string(m_unreportedDrops) + "}\n";
        m_unreportedDrops = 0;
        guard.unlock();
        writeAll(lines);
        guard.lock();
    }
}

void LineWriter::writeAll(std::string_view bytes) const
{
    while (!bytes.empty()) {
        auto count = ::write(m_descriptor, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        // The rest of the batch is dropped on any error, such as a closed reader: there is no other place to report it.
        if (count <= 0)
            return;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
}

} // namespace redwingseam::log
