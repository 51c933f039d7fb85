#include "http/EngineResponseParser.h"

#include "codec/JsonReader.h"

namespace redwingseam::http {

std::optional<node::TokensReceived> parseTokens(std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    node::TokensReceived event;
    event.firstIndex = static_cast<uint32_t>(reader.number("index"));
    for (const auto& item : reader.array("tokens")) {
        codec::JsonReader token(item);
        event.tokens.push_back({ static_cast<uint32_t>(token.number("id")), token.text("text") });
        if (!token.isGood())
            return std::nullopt;
    }
    if (!reader.isGood())
        return std::nullopt;
    return event;
}

std::optional<uint32_t> parseTokenTotal(std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    auto total = reader.number("total");
    if (!reader.isGood() || total > UINT32_MAX)
        return std::nullopt;
    return static_cast<uint32_t>(total);
}

std::optional<LoadProbeResponse> parseLoad(const base::UpstreamName& upstream, std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    LoadProbeResponse result;
    result.load = { upstream, static_cast<uint32_t>(reader.number("running")), static_cast<uint32_t>(reader.number("waiting")), reader.flag("leaving") };
    if (reader.has("cache")) {
        for (const auto& item : reader.array("cache")) {
            codec::JsonReader event(item);
            result.cacheEvents.push_back({ upstream, event.number("prefix"), event.flag("stored") });
            if (!event.isGood())
                return std::nullopt;
        }
    }
    if (!reader.isGood())
        return std::nullopt;
    return result;
}

} // namespace redwingseam::http
