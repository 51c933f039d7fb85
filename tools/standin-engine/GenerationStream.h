#pragma once

#include "Engine.h"
#include "GenerationOrder.h"

#include <optional>
#include <string>

namespace redwingseam::standin {

// One generation as a stream of server-sent events. It holds a slot from its first event to its end.
class GenerationStream {
public:
    GenerationStream(Engine& engine, GenerationOrder order)
        : m_engine(engine)
        , m_order(std::move(order))
        , m_index(m_order.prefixSize)
    {
    }
    ~GenerationStream();
    GenerationStream(const GenerationStream&) = delete;
    GenerationStream& operator=(const GenerationStream&) = delete;

    // Next event; waits for as long as the engine takes for it.
    std::optional<std::string> next();

private:
    void prefill();

    Engine& m_engine;
    GenerationOrder m_order;
    uint32_t m_index;
    bool m_hasSlot = false;
    bool m_isDone = false;
};

} // namespace redwingseam::standin
