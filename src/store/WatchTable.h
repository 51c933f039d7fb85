#pragma once

#include "redwingseam/base/Mutex.h"
#include "store/DueWatch.h"
#include "store/WatchState.h"

#include <map>
#include <string>
#include <vector>

namespace redwingseam::store {

// Watches of the platform's store: which are wanted, their progress, and the time of the next request.
// Thread-safe.
class WatchTable {
public:
    void setWanted(const std::string& prefix, bool isWanted);
    // Returns the watches that are due and marks them as in flight.
    std::vector<DueWatch> takeDue(base::Instant now);
    void onResponse(const std::string& prefix, uint64_t revision);
    // The next request starts over with a list, since changes may have been missed.
    void onFailure(const std::string& prefix);

private:
    base::Mutex m_mutex;
    std::map<std::string, WatchState> m_watches;
    base::Instant m_now;
};

} // namespace redwingseam::store
