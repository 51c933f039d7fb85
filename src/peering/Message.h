#pragma once

#include "peering/NewsMessage.h"
#include "peering/StateQuery.h"
#include "peering/StateReply.h"

#include <variant>

namespace redwingseam::peering {

// Message between two nodes.
using Message = std::variant<StateQuery, StateReply, NewsMessage>;

} // namespace redwingseam::peering
