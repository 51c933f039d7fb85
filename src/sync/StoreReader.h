#pragma once

#include "redwingseam/base/Result.h"
#include "sync/Freshness.h"
#include "sync/ManifestRead.h"
#include "sync/NodeRecord.h"
#include "sync/UpstreamChanges.h"
#include "sync/UpstreamList.h"

#include <concepts>
#include <vector>

namespace redwingseam::sync {

// Calls of the platform's store. Calls wait for the answer and are made from one thread for each reader.
template<typename T>
concept StoreReader = requires(T& reader, uint64_t revision, base::Duration wait, const NodeRecord& node, Freshness freshness)
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
    // Enters this node, in place of what stands under its name.
    {
        reader.announceNode(node)
        } -> std::same_as<base::Error>;
    {
        reader.listNodes(freshness)
        } -> std::same_as<base::Result<std::vector<NodeRecord>>>;
};

} // namespace redwingseam::sync
