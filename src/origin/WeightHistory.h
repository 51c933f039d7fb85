#pragma once

#include "origin/ListSpan.h"
#include "origin/WeightEntry.h"

#include <set>
#include <vector>

namespace redwingseam::origin {

// The numbers of a service's upstreams by version over the time for which streams live, newest last. A plain value.
struct WeightHistory {
    std::vector<WeightEntry> entries;

    // Records the current numbers, unless they are about the same. Returns whether the history has changed.
    bool record(const fleet::VersionWeights&, uint64_t now, const ListSpan& = {});
    // Begins a new entry even if the numbers are the same, since the list is that of a restored store.
    void restart(const fleet::VersionWeights&, uint64_t now, const ListSpan& = {});
    // Returns whether the numbers have held for long enough that they can be relied on: a restored store lists upstreams that
    // have left, and lacks others until they register again.
    bool isSettled(uint64_t now) const;
    // Returns whether the newest numbers may be those of a list that was not settled after a restore, or that no leader has
    // observed from its beginning.
    bool isBeginDoubtful(uint64_t now) const;
    // Removes what ended before `oldest`. Returns whether the history has changed.
    bool removeOlderThan(uint64_t oldest);
    // Returns all versions at which streams may have begun.
    std::set<base::SoftwareVersion> versions() const;
    // Returns the version to which all entries assign the stream, or the empty version if they differ.
    base::SoftwareVersion assigned(const base::ClientAttemptId&) const;

    // Returns the version to which all entries that overlap the gaps assign the stream clearly, or the empty version if they
    // differ or none does. Entries that ended before `oldest` don't count. The numbers may have become the present ones since the
    // newest entry was stated.
    base::SoftwareVersion assignedWithin(const std::vector<RecordGap>&, uint64_t oldest, const fleet::VersionWeights& present, const base::ClientAttemptId&) const;

    bool operator==(const WeightHistory&) const = default;

private:
    // Returns the entries that overlap the gaps, with the present numbers if the newest one does.
    std::vector<WeightEntry> entriesWithin(const std::vector<RecordGap>&, uint64_t oldest, const fleet::VersionWeights& present) const;
};

} // namespace redwingseam::origin
