#pragma once

#include "origin/StoredOrigins.h"
#include "redwingseam/base/Result.h"

#include <concepts>

namespace redwingseam::sync {

// A client of the platform's store for where streams began. Calls block until the response arrives, and each client is used
// by one thread only. A write replaces the object of the stated revision, or creates it if the revision is 0, and fails with
// PlatformConflict if the store holds another one: a write that takes effect late must not undo a later one. Returns the
// revision of the new object.
template<typename T>
concept OriginStore = requires(T& client, const origin::NodeRecords& records, const origin::VersionStatement& statement)
{
    {
        client.readOrigins()
        } -> std::same_as<base::Result<origin::StoredOrigins>>;
    {
        client.writeRecords(records)
        } -> std::same_as<base::Result<uint64_t>>;
    {
        client.writeStatement(statement)
        } -> std::same_as<base::Result<uint64_t>>;
};

} // namespace redwingseam::sync
