#pragma once

#include "redwingseam/base/Error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

namespace redwingseam::base {

// Value of an operation, or the error that prevented it. Accessing the one that is absent terminates the process.
template<typename Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::terminate>;

} // namespace redwingseam::base
