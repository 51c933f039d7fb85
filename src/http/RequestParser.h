#pragma once

#include "http/ParsedCompletion.h"
#include "redwingseam/base/Result.h"
#include "redwingseam/node/CallerRequest.h"

#include <string_view>

namespace redwingseam::http {

// Fills a request from the body of `POST /v1/completions`. Errors MalformedRequest and RequestTooLarge
// name the JSON pointer. Leaves id, client and resume point to the caller.
base::Result<ParsedCompletion> parseCompletion(std::string_view json);

} // namespace redwingseam::http
