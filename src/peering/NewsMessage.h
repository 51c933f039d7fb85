#pragma once

#include "fleet/SuspicionNews.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::peering {

// Upstreams that a node took for down. A hub passes them on.
struct NewsMessage {
    sync::NodeRecord from;
    std::vector<fleet::SuspicionNews> news;
};

} // namespace redwingseam::peering
