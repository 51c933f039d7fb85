#include "GenerationStream.h"

#include "route/PrefixHashes.h"
#include "standin/DeterministicModel.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace redwingseam::standin {

static constexpr size_t bytesPerToken = 4;
static constexpr size_t tokensPerBlock = 64;

GenerationStream::~GenerationStream()
{
    if (m_hasSlot)
        m_engine.releaseSlot();
}

void GenerationStream::prefill()
{
    m_engine.acquireSlot(m_request.priority);
    m_hasSlot = true;
    const auto& options = m_engine.options();
    bool triggersCrash = !options.crashOnPrompt.empty() && m_request.prompt.find(options.crashOnPrompt) != std::string::npos;
    if (triggersCrash)
        _exit(1);
    auto cachedBlocks = m_engine.updatePrefixCache(route::prefixHashes(m_request.prompt));
    auto promptTokens = m_request.prompt.size() / bytesPerToken + m_request.prefixSize;
    auto cachedTokens = std::min(promptTokens, cachedBlocks * tokensPerBlock);
    m_engine.delay(options.prefillPerToken * static_cast<int64_t>(promptTokens - cachedTokens));
}

std::optional<std::string> GenerationStream::next()
{
    if (m_isDone)
        return std::nullopt;
    if (!m_hasSlot)
        prefill();
    if (m_index >= m_request.maxTokens) {
        m_isDone = true;
        return "event: done\ndata: {\"total\":" + std::to_string(m_index) + "}\n\n";
    }
    m_engine.delay(m_engine.options().tokenInterval);
    auto crashAt = m_engine.options().crashAtToken;
    if (crashAt && m_index >= crashAt)
        _exit(1);
    auto token = tokenAt(m_request.prompt, m_request.seed, m_index);
    nlohmann::json event { { "index", m_index++ }, { "tokens", { { { "id", token.id }, { "text", token.text } } } } };
    return "data: " + event.dump() + "\n\n";
}

} // namespace redwingseam::standin
