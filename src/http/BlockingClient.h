#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResult.h"

namespace redwingseam::http {

// Makes one HTTP request and waits for its answer. For command-line programs.
HttpResult exchange(const HttpRequest&);

} // namespace redwingseam::http
