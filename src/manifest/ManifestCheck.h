#pragma once

#include "manifest/Finding.h"
#include "manifest/ManifestIndex.h"

#include <concepts>

namespace redwingseam::manifest {

// Looks for one kind of fault. The index tells what the nodes would match.
template<typename T>
concept ManifestCheck = requires(const ManifestIndex& index, Findings& findings)
{
    T::run(index, findings);
};

} // namespace redwingseam::manifest
