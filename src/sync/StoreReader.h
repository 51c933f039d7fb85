#pragma once

#include "redwingseam/base/Result.h"
#include "redwingseam/fleet/UpstreamInstance.h"
#include "sync/ManifestRead.h"

#include <concepts>
#include <vector>

namespace redwingseam::sync {

// Reads the platform's store. Calls wait for the answer and are made from one thread for each reader.
template<typename T>
concept StoreReader = requires(T& reader)
{
    {
        reader.readManifest()
        } -> std::same_as<base::Result<ManifestRead>>;
    {
        reader.listUpstreams()
        } -> std::same_as<base::Result<std::vector<fleet::UpstreamInstance>>>;
};

} // namespace redwingseam::sync
