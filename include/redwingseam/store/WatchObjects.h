#pragma once

#include <string>

namespace redwingseam::store {

// Starts or stops watching all objects whose keys begin with `prefix`.
struct WatchObjects {
    std::string prefix;
    bool isWanted = true;
};

} // namespace redwingseam::store
