#pragma once

#include "CallOptions.h"
#include "CallResult.h"
#include "http/EventStreamParser.h"
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
    void tryOnce(const std::string& target);
    std::string body() const;
    static size_t onWrite(char* bytes, size_t size, size_t count, void* self);
    void onEvent(const http::ServerSentEvent&);
    void onPiece(std::string_view json);
    void noteTime();

    CallOptions m_options;
    CallResult m_result;
    http::EventStreamParser m_eventParser;
    std::vector<uint32_t> m_received;
    std::string m_lastEventId;
    std::string m_idBuffer;
    base::Instant m_startedAt;
    base::Instant m_lastPieceAt;
    bool m_isOver = false;
};

} // namespace redwingseam::standin
