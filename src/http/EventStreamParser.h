#pragma once

#include "http/ServerSentEvent.h"

#include <string>
#include <string_view>

namespace redwingseam::http {

// Splits a byte stream into server-sent events. An event longer than `maxEventBytes` is an error. Errors
// are permanent, because the rest of the stream cannot be parsed reliably. Not thread-safe.
class EventStreamParser {
public:
    static constexpr size_t maxEventBytes = 256 * 1024;

    // Parses the next bytes and calls `onEvent(const ServerSentEvent&)` for each event that they complete.
    // Returns false after an error.
    template<typename Function>
    bool feed(std::string_view bytes, Function&& onEvent)
    {
        if (m_hasFailed)
            return false;
        m_buffer.append(bytes);
        size_t start = 0;
        for (auto end = m_buffer.find('\n', start); end != std::string::npos; end = m_buffer.find('\n', start)) {
            parseLine(std::string_view(m_buffer).substr(start, end - start));
            start = end + 1;
            if (!m_isEventComplete)
                continue;
            onEvent(m_event);
            m_event = {};
            m_isEventComplete = false;
        }
        m_buffer.erase(0, start);
        m_hasFailed = m_buffer.size() + m_event.data.size() > maxEventBytes;
        return !m_hasFailed;
    }

private:
    void parseLine(std::string_view line);

    std::string m_buffer;
    ServerSentEvent m_event;
    bool m_isEventComplete = false;
    bool m_hasFailed = false;
};

} // namespace redwingseam::http
