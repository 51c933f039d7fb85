#pragma once

#include "BlockingStoreClient.h"
#include "TreeFiles.h"
#include "redwingseam/base/EnumNames.h"

#include <optional>
#include <string>
#include <vector>

namespace redwingseam::cli {

// How a branch in the files differs from the store.
enum class ChangeKind : uint8_t {
    Added,
    Changed,
    Removed,
};

// One difference between the files and the store, in the branches' canonical JSON.
struct TreeChange {
    ChangeKind kind = ChangeKind::Added;
    std::string path;
    std::string stored;
    std::string local;
};

// Differences by path; nothing if the store can't be reached.
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
