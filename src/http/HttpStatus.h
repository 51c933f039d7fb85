#pragma once

#include "redwingseam/base/ResultCode.h"

namespace redwingseam::http {

// HTTP status that stands for a result code.
unsigned httpStatusOf(base::ResultCode);

} // namespace redwingseam::http
