#pragma once

#include "http/HttpResult.h"

#include <atomic>
#include <cstdint>
#include <string_view>

namespace redwingseam::standin {

// Counts the streams that have received data and those that have finished. Thread-safe.
class StreamCounter {
public:
    // Per-stream state: whether the stream has received data yet.
    struct Context {
        bool hasReceivedData = false;
    };

    bool onData(Context& context, long status, std::string_view)
    {
        bool isFirst = status == 200 && !context.hasReceivedData;
        m_started += isFirst ? 1 : 0;
        context.hasReceivedData = context.hasReceivedData || isFirst;
        return true;
    }

    void onDone(Context&, const http::HttpResult&) { ++m_finished; }

    // Returns how many streams have received data and not finished.
    uint32_t openCount() const { return m_started - m_finished; }

private:
    std::atomic<uint32_t> m_started { 0 };
    std::atomic<uint32_t> m_finished { 0 };
};

} // namespace redwingseam::standin
