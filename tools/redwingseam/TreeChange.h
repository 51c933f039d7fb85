#pragma once

#include "BlockingStoreClient.h"
#include "TreeFiles.h"
#include "redwingseam/base/EnumNames.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::cli {

// How a branch in the local files differs from the store.
enum class ChangeKind : uint8_t {
    Added,
    Changed,
    Removed,
};

// One difference between the local files and the store. `stored` and `local` hold the branch as canonical
// JSON and are empty where the branch does not exist.
struct TreeChange {
    ChangeKind kind = ChangeKind::Added;
    std::string path;
    std::string stored;
    std::string local;
};

// Returns the differences: added and changed branches sorted by path, then removed ones sorted by path.
// Returns nothing if the store cannot be reached.
std::optional<std::vector<TreeChange>> compareWithStore(const TreeFiles&, const BlockingStoreClient&);

} // namespace redwingseam::cli

template<>
struct redwingseam::base::EnumNames<redwingseam::cli::ChangeKind> {
    using ChangeKind = redwingseam::cli::ChangeKind;
    static constexpr std::array entries {
        std::pair { ChangeKind::Added, std::string_view { "added" } },
        std::pair { ChangeKind::Changed, std::string_view { "changed" } },
        std::pair { ChangeKind::Removed, std::string_view { "removed" } },
    };
};
