#pragma once

#include "redwingseam/base/Result.h"
#include "sync/ClockReading.h"
#include "sync/StoredQuarantine.h"

#include <concepts>

namespace redwingseam::sync {

// A client of the platform's store for what crashes upstreams. Calls block until the response arrives, and each client is used by
// one thread only. A write replaces the object of the stated revision, or creates it if the revision is 0, and fails with
// PlatformConflict if the store holds another one. Returns the revision of the new object.
template<typename T>
concept QuarantineStore = requires(T& client, const StoredQuarantine& quarantine, const ClockReading& reading)
{
    {
        client.readQuarantine(reading)
        } -> std::same_as<base::Result<StoredQuarantine>>;
    {
        client.writeQuarantine(quarantine, reading)
        } -> std::same_as<base::Result<uint64_t>>;
};

} // namespace redwingseam::sync
