#pragma once

#include "redwingseam/base/Ids.h"

#include <span>
#include <string_view>
#include <vector>

namespace redwingseam::membership {

// The `count` VMs with the highest weight for `subject` by rendezvous hashing, best first. All nodes
// that know the same VMs choose the same ones; a change moves only what the lost VM had.
std::vector<base::VmName> selectByRendezvousHash(std::span<const base::VmName> vms, std::string_view subject, size_t count);

} // namespace redwingseam::membership
