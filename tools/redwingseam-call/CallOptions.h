#pragma once

#include "redwingseam/base/Rank.h"

#include <cstdint>
#include <string>
#include <vector>

namespace redwingseam::standin {

// Options of a CheckingCaller.
struct CallOptions {
    // Base URLs of VMs. The caller fails over to the next one when a connection breaks.
    std::vector<std::string> targets;
    std::string key;
    std::string model;
    std::string prompt;
    std::string work;
    uint32_t maxTokens = 100;
    uint64_t seed = 1;
    base::Rank rank = base::Rank::Urgent;
    // Sends the tokens received so far with a reconnect, so that generation can resume after them.
    bool sendsReceivedTokens = true;
    uint32_t maxReconnects = 10;
};

} // namespace redwingseam::standin
