#pragma once

#include "http/CallerConnection.h"
#include "redwingseam/base/Error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace redwingseam::http {

// JSON text; bytes that are not UTF-8 are replaced instead of failing.
std::string dumpJson(const nlohmann::json&);

// Body of an error answer. `runState` says whether any of the work was run.
std::string errorBody(const base::Error&, std::string_view runState);

// Makes an error the connection's whole answer.
void setErrorResponse(CallerConnection&, const base::Error&, std::string_view runState);

} // namespace redwingseam::http
