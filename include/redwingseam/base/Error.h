#pragma once

#include "redwingseam/base/ResultCode.h"

#include <string>

namespace redwingseam::base {

// Failure of an operation: a numbered code and a human-readable detail, which programs must not parse.
struct Error {
    ResultCode code = ResultCode::Ok;
    std::string detail;
};

} // namespace redwingseam::base
