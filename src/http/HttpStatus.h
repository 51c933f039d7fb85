#pragma once

#include "redwingseam/base/ResultCode.h"

namespace redwingseam::http {

// Returns the HTTP status for a result code.
unsigned httpStatusOf(base::ResultCode);

} // namespace redwingseam::http
