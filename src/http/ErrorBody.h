#pragma once

#include "http/CallerConnection.h"
#include "redwingseam/base/Error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace redwingseam::http {

// Serializes JSON. Replaces invalid UTF-8 instead of throwing.
std::string dumpJson(const nlohmann::json&);

// Returns the body of an error response. `runState` states whether any of the work was executed.
std::string errorBody(const base::Error&, std::string_view runState);

// Sets an error as the complete response of the connection.
void setErrorResponse(CallerConnection&, const base::Error&, std::string_view runState);

} // namespace redwingseam::http
