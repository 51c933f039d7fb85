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
        bool hasData = false;
    };

    bool onData(Tag& tag, long status, std::string_view)
    {
        bool isFirst = status == 200 && !tag.hasData;
        m_started += isFirst ? 1 : 0;
        tag.hasData = tag.hasData || isFirst;
        return true;
    }

    void onDone(Tag&, const http::HttpResult&) { ++m_ended; }

    uint32_t open() const { return m_started - m_ended; }

private:
    std::atomic<uint32_t> m_started { 0 };
    std::atomic<uint32_t> m_ended { 0 };
};

} // namespace redwingseam::standin
