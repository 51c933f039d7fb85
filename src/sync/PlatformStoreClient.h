#pragma once

#include "redwingseam/base/Result.h"
#include "sync/Freshness.h"
#include "sync/ManifestRead.h"
#include "sync/NodeList.h"
#include "sync/UpstreamListRead.h"
#include "sync/UpstreamWatchResult.h"

#include <concepts>

namespace redwingseam::sync {

// A client of the platform's store. Calls block until the response arrives, and each client is used by one thread only.
template<typename T>
concept PlatformStoreClient = requires(T& client, uint64_t revision, base::Duration wait, const NodeRecord& node, Freshness freshness)
{
    {
        client.readManifest()
        } -> std::same_as<base::Result<ManifestRead>>;
    {
        client.listUpstreams()
        } -> std::same_as<base::Result<UpstreamListRead>>;
    // Waits up to `wait` for a change after `revision`. Fails with PlatformNotFound if the store no longer holds the
    // changes since `revision`.
    {
        client.watchUpstreams(revision, wait)
        } -> std::same_as<base::Result<UpstreamWatchResult>>;
    // Writes the entry of this node and replaces any entry of the same name.
    {
        client.registerNode(node)
        } -> std::same_as<base::Error>;
    // Deletes the entry, unless the store holds another one of that name; fails with PlatformConflict then.
    {
        client.removeNode(node)
        } -> std::same_as<base::Error>;
    {
        client.listNodes(freshness)
        } -> std::same_as<base::Result<NodeList>>;
};

} // namespace redwingseam::sync
