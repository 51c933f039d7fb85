#pragma once

#include "CallOptions.h"
#include "CallResult.h"
#include "http/EventStreamParser.h"
#include "redwingseam/base/Instant.h"

#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::standin {

// Sends one completion request, compares each token with the stand-in engine's model, and resumes the
// stream on another VM when its connection breaks.
class CheckingCaller {
public:
    explicit CheckingCaller(CallOptions options)
        : m_options(std::move(options))
    {
    }

    CallResult run();

private:
    // Sends the request to one VM and reads the response to its end.
    void runAttempt(const std::string& target);
    std::string body() const;
    static size_t onWrite(char* bytes, size_t size, size_t count, void* self);
    void onEvent(const http::ServerSentEvent&);
    void onChunk(std::string_view json);
    void recordChunkTime();

    CallOptions m_options;
    CallResult m_result;
    http::EventStreamParser m_eventParser;
    std::vector<uint32_t> m_received;
    std::string m_lastEventId;
    // Raw bytes of the response that follow the last parsed event. Also holds the body of an error response.
    std::string m_responseBuffer;
    base::Instant m_startedAt;
    base::Instant m_lastChunkAt;
    bool m_isFinished = false;
};

} // namespace redwingseam::standin
