#include "EngineHandler.h"

#include "codec/JsonReader.h"

#include <algorithm>
#include <unistd.h>

namespace redwingseam::standin {

EngineHandler::Response EngineHandler::handle(const http::ServerRequest& request)
{
    if (request.path == "/v1/generate" && request.method == "POST")
        return generate(request);
    if (request.path == "/v1/load")
        return load();
    if (request.path.starts_with("/admin/"))
        return handleAdmin(request);
    return { 404, "{}" };
}

EngineHandler::Response EngineHandler::generate(const http::ServerRequest& request)
{
    auto document = nlohmann::json::parse(request.body, nullptr, false);
    codec::JsonReader reader(document);
    GenerationRequest generation;
    generation.prompt = reader.text("prompt");
    generation.seed = reader.number("seed");
    generation.maxTokens = static_cast<uint32_t>(reader.number("max_tokens"));
    generation.prefixSize = static_cast<uint32_t>(reader.array("prefix").size());
    generation.priority = reader.enumValue<base::Rank>("priority");
    if (!reader.isGood())
        return { 400, "{}" };
    return { 200, {}, "text/event-stream", std::make_unique<GenerationStream>(m_engine, std::move(generation)) };
}

EngineHandler::Response EngineHandler::load()
{
    auto load = m_engine.load();
    auto events = nlohmann::json::array();
    for (const auto& event : m_engine.takeCacheEvents())
        events.push_back({ { "prefix", event.prefixHash }, { "stored", event.isStored } });
    nlohmann::json body { { "running", load.running }, { "waiting", load.waiting }, { "leaving", load.isLeaving }, { "cache", std::move(events) } };
    return { 200, body.dump() };
}

EngineHandler::Response EngineHandler::handleAdmin(const http::ServerRequest& request)
{
    if (request.path == "/admin/die")
        _exit(1);
    if (request.path == "/admin/freeze")
        m_engine.setFrozen(true);
    else if (request.path == "/admin/thaw")
        m_engine.setFrozen(false);
    else if (request.path == "/admin/leave")
        m_engine.setLeaving();
    else if (request.path == "/admin/slow")
        m_engine.setSlowdownFactor(static_cast<uint32_t>(std::max(1L, std::strtol(request.queryArgument("factor").c_str(), nullptr, 10))));
    else
        return { 404, "{}" };
    return { 200, "{}" };
}

} // namespace redwingseam::standin
