#pragma once

#include "redwingseam/base/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace redwingseam::standin {

// What the checking caller asks for.
struct CallOptions {
    // Base URLs of VMs; the next one is tried when a connection breaks.
    std::vector<std::string> targets;
    std::string key;
    std::string model;
    std::string prompt;
    std::string work;
    uint32_t maxTokens = 100;
    uint64_t seed = 1;
    base::Rank rank = base::Rank::Urgent;
    // Sends the tokens that were received along with a reconnect.
    bool sendsReceivedTokens = true;
    uint32_t maxReconnects = 10;
};

} // namespace redwingseam::standin
