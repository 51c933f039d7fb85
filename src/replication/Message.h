#pragma once

#include "replication/FailureNotice.h"
#include "replication/StateQuery.h"
#include "replication/StateReply.h"

#include <variant>

namespace redwingseam::replication {

// A message between two gateway nodes.
using Message = std::variant<StateQuery, StateReply, FailureNotice>;

} // namespace redwingseam::replication
