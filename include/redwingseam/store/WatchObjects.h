#pragma once

#include <string>

namespace redwingseam::store {

// Effect that starts (`isWanted`) or stops watching all objects whose keys start with `prefix`.
struct WatchObjects {
    std::string prefix;
    bool isWanted = true;
};

} // namespace redwingseam::store
