#pragma once

#include "CallOptions.h"
#include "CallResult.h"
#include "http/EventLines.h"
#include "redwingseam/base/Instant.h"

#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::standin {

// Sends one completion request, checks each token against the stand-in model, and takes the stream up
// again at another VM when its connection breaks.
class CheckingCaller {
public:
    explicit CheckingCaller(CallOptions options)
        : m_options(std::move(options))
    {
    }

    CallResult run();

private:
    void runAttempt(const std::string& target);
    std::string body() const;
    static size_t onWrite(char* bytes, size_t size, size_t count, void* self);
    void onEvent(const http::ServerEvent&);
    void onChunk(std::string_view json);
    void recordChunkTime();

    CallOptions m_options;
    CallResult m_result;
    http::EventLines m_lines;
    std::vector<uint32_t> m_received;
    std::string m_lastEventId;
    std::string m_responseBuffer;
    base::Instant m_startedAt;
    base::Instant m_lastChunkAt;
    bool m_isFinished = false;
};

} // namespace redwingseam::standin
