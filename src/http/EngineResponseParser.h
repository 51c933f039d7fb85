#pragma once

#include "http/EngineLoad.h"
#include "http/EventStreamParser.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::http {

// Tokens of a `data:` event. Nothing if the event is of another form.
std::optional<node::TokensReceived> parseTokens(std::string_view json);
// Total of a `done` event.
std::optional<uint32_t> parseTotal(std::string_view json);
// Body of `GET /v1/load`.
std::optional<EngineLoad> parseLoad(const base::UpstreamName&, std::string_view json);

} // namespace redwingseam::http
