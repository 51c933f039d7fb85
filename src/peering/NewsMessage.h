#pragma once

#include "fleet/SuspicionNews.h"
#include "forward/CrashReport.h"
#include "sync/NodeRecord.h"

#include <vector>

namespace redwingseam::peering {

// Upstreams that a node took for down, and requests that upstreams broke under. A hub passes them on.
struct NewsMessage {
    sync::NodeRecord from;
    std::vector<fleet::SuspicionNews> news;
    std::vector<forward::CrashReport> crashes;

    bool isEmpty() const { return news.empty() && crashes.empty(); }
};

} // namespace redwingseam::peering
