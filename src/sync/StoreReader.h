#pragma once

#include "redwingseam/base/Result.h"
#include "sync/ManifestRead.h"
#include "sync/UpstreamChanges.h"
#include "sync/UpstreamList.h"

#include <concepts>

namespace redwingseam::sync {

// Reads the platform's store. Calls wait for the answer and are made from one thread for each reader.
template<typename T>
concept StoreReader = requires(T& reader, uint64_t revision, base::Duration wait)
{
    {
        reader.readManifest()
        } -> std::same_as<base::Result<ManifestRead>>;
    {
        reader.listUpstreams()
        } -> std::same_as<base::Result<UpstreamList>>;
    // Waits until something changes after `revision`, at most for `wait`. Error PlatformNotFound if the
    // store has forgotten what came after it.
    {
        reader.watchUpstreams(revision, wait)
        } -> std::same_as<base::Result<UpstreamChanges>>;
};

} // namespace redwingseam::sync
