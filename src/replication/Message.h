#pragma once

#include "replication/NewsMessage.h"
#include "replication/StateQuery.h"
#include "replication/StateReply.h"

#include <variant>

namespace redwingseam::replication {

// Message between two nodes.
using Message = std::variant<StateQuery, StateReply, NewsMessage>;

} // namespace redwingseam::replication
