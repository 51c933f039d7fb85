#pragma once

#include "Engine.h"
#include "GenerationRequest.h"

#include <optional>
#include <string>

namespace redwingseam::standin {

// One generation as a stream of server-sent events. The stream acquires a slot at its first event and
// releases it when it is destroyed.
class GenerationStream {
public:
    GenerationStream(Engine& engine, GenerationRequest request)
        : m_engine(engine)
        , m_request(std::move(request))
        , m_index(m_request.prefixSize)
    {
    }
    ~GenerationStream();
    GenerationStream(const GenerationStream&) = delete;
    GenerationStream& operator=(const GenerationStream&) = delete;

    // Returns the next event, or nothing at the end of the stream. Blocks for the simulated processing time.
    std::optional<std::string> next();

private:
    void prefill();

    Engine& m_engine;
    GenerationRequest m_request;
    uint32_t m_index;
    bool m_hasSlot = false;
    bool m_isDone = false;
};

} // namespace redwingseam::standin
