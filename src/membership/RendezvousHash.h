#pragma once

#include "redwingseam/base/Ids.h"

#include <span>
#include <string_view>
#include <vector>

namespace redwingseam::membership {

// Returns the `count` VMs with the highest weight for `subject` by rendezvous hashing, highest first.
// Nodes that know the same VMs select the same ones. Losing a VM reassigns only that VM's subjects.
std::vector<base::VmName> selectByRendezvousHash(std::span<const base::VmName> vms, std::string_view subject, size_t count);

} // namespace redwingseam::membership
