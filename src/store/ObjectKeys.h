#pragma once

#include "redwingseam/base/Ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwingseam::store {

// Keys of the system's objects in the platform's store.
base::ObjectKey claimBatchKey(uint64_t group, uint64_t batchNumber);
base::ObjectKey claimCheckpointKey(uint64_t group);
std::string claimGroupPrefix(uint64_t group);
base::ObjectKey branchEditKey(std::string_view path);
base::ObjectKey acceptedBranchKey(std::string_view path);
base::ObjectKey branchStatusKey(std::string_view path);
base::ObjectKey upstreamKey(const base::UpstreamName&);
base::ObjectKey leaseKey(std::string_view subject);

// Returns the path of the branch whose edit is stored under the key, or nullopt for other keys.
std::optional<std::string> branchEditPath(const base::ObjectKey&);

// Key prefixes watched by the VMs that read the platform's store for their data centre.
inline constexpr std::array<std::string_view, 3> watchedPrefixes { "settings/raw", "settings/accepted", "upstreams/" };

} // namespace redwingseam::store
