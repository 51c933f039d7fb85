#pragma once

#include "redwingseam/node/NodeStatus.h"

#include <string>

namespace redwingseam::daemon {

// Returns the status of a node as the JSON object that the admin port shows.
std::string formatStatus(const node::NodeStatus&);

} // namespace redwingseam::daemon
