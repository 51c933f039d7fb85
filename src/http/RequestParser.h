#pragma once

#include "http/ParsedCompletion.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/node/CallerRequest.h"

#include <string_view>

namespace redwingseam::http {

// Parses the body of `POST /v1/completions`. Errors are MalformedRequest and RequestTooLarge, with the JSON
// pointer of the fault in their detail. The calling function sets the id, client and resume point.
base::Result<ParsedCompletion> parseCompletion(std::string_view json);

} // namespace redwingseam::http
