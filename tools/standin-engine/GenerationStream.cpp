#include "GenerationStream.h"

#include "route/PrefixHashes.h"
#include "standin/ModelFunction.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace redwingseam::standin {

static constexpr size_t bytesPerToken = 4;
static constexpr size_t tokensPerBlock = 64;

GenerationStream::~GenerationStream()
{
    if (m_hasSlot)
        m_engine.leave();
}

void GenerationStream::prefill()
{
    m_engine.enter(m_order.priority);
    m_hasSlot = true;
    const auto& options = m_engine.options();
    bool isDeadly = !options.dieOnPrompt.empty() && m_order.prompt.find(options.dieOnPrompt) != std::string::npos;
    if (isDeadly)
        _exit(1);
    auto held = m_engine.useCache(route::prefixHashes(m_order.prompt));
    auto promptTokens = m_order.prompt.size() / bytesPerToken + m_order.prefixSize;
    auto cachedTokens = std::min(promptTokens, held * tokensPerBlock);
    m_engine.pass(options.prefillPerToken * static_cast<int64_t>(promptTokens - cachedTokens));
}

std::optional<std::string> GenerationStream::next()
{
    if (m_isDone)
        return std::nullopt;
    if (!m_hasSlot)
        prefill();
    if (m_index >= m_order.maxTokens) {
        m_isDone = true;
        return "event: done\ndata: {\"total\":" + std::to_string(m_index) + "}\n\n";
    }
    m_engine.pass(m_engine.options().tokenInterval);
    auto dieAt = m_engine.options().dieAtToken;
    if (dieAt && m_index >= dieAt)
        _exit(1);
    auto token = tokenAt(m_order.prompt, m_order.seed, m_index);
    nlohmann::json event { { "index", m_index++ }, { "tokens", { { { "id", token.id }, { "text", token.text } } } } };
    return "data: " + event.dump() + "\n\n";
}

} // namespace redwingseam::standin
