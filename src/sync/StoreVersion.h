#pragma once

#include <compare>
#include <cstdint>

namespace redwingseam::sync {

// Names a state of the store. The revision alone doesn't: a store that is restored from a copy gives revisions out again,
// and raises its era.
struct StoreVersion {
    // 0 if the store states none.
    uint64_t era = 0;
    // 0 stands for no state.
    uint64_t revision = 0;

    auto operator<=>(const StoreVersion&) const = default;
};

} // namespace redwingseam::sync
