#pragma once

#include "replication/FailureNotice.h"
#include "replication/OriginQuery.h"
#include "replication/OriginReply.h"
#include "replication/StateQuery.h"
#include "replication/StateReply.h"

#include <variant>

namespace redwingseam::replication {

// A message between two gateway nodes.
using Message = std::variant<StateQuery, StateReply, FailureNotice, OriginQuery, OriginReply>;

} // namespace redwingseam::replication
