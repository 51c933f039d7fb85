#pragma once

#include "http/EventStreamParser.h"
#include "http/LoadProbeResponse.h"
#include "redwingseam/node/TokensReceived.h"
#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace redwingseam::http {

// Parses the data of a token event of `POST /v1/generate`. Returns nothing if it is malformed. The calling
// function sets `request` and `attempt`.
std::optional<node::TokensReceived> parseTokens(std::string_view json);
// Parses the data of a `done` event. Returns the total number of tokens, or nothing if it is malformed.
std::optional<uint32_t> parseTokenTotal(std::string_view json);
// Parses the response body of `GET /v1/load`. Returns nothing if it is malformed.
std::optional<LoadProbeResponse> parseLoad(const base::UpstreamName&, std::string_view json);

} // namespace redwingseam::http
