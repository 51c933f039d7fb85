#pragma once

#include "http/HttpResult.h"

#include <atomic>
#include <cstdint>
#include <string_view>

namespace redwingseam::standin {

// Counts streams that have brought data and those that have ended. Thread-safe.
class StreamCounter {
public:
    // Whether this stream has brought data yet.
    struct Tag {
        bool hasReceivedData = false;
    };

    bool onData(Tag& tag, long status, std::string_view)
    {
        bool isFirst = status == 200 && !tag.hasReceivedData;
        m_started += isFirst ? 1 : 0;
        tag.hasReceivedData = tag.hasReceivedData || isFirst;
        return true;
    }

    void onDone(Tag&, const http::HttpResult&) { ++m_finished; }

    uint32_t openCount() const { return m_started - m_finished; }

private:
    std::atomic<uint32_t> m_started { 0 };
    std::atomic<uint32_t> m_finished { 0 };
};

} // namespace redwingseam::standin
