#pragma once

#include "http/EventLines.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::http {

// An engine's load answer: how busy it is, and what it cached or evicted since the last one.
struct EngineLoad {
    route::LoadReport load;
    std::vector<route::CacheEvent> cacheEvents;
};

// Tokens of a `data:` event. Nothing if the event is of another form.
std::optional<node::TokensReceived> parseTokens(std::string_view json);
// Total of a `done` event.
std::optional<uint32_t> parseTotal(std::string_view json);
// Body of `GET /v1/load`.
std::optional<EngineLoad> parseLoad(const base::UpstreamName&, std::string_view json);

} // namespace redwingseam::http
