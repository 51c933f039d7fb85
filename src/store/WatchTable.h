#pragma once

#include "redwingseam/base/Mutex.h"
#include "store/DueWatch.h"
#include "store/WatchState.h"

#include <map>
#include <string>
#include <vector>

namespace redwingseam::store {

// The watches of the platform's store: which are wanted, how far each has come, and when it is to be
// asked for again. Thread-safe.
class WatchTable {
public:
    void setWanted(const std::string& prefix, bool isWanted);
    // Watches that are to be asked for now; they count as under way from here on.
    std::vector<DueWatch> takeDue(base::Instant now);
    void onResponse(const std::string& prefix, uint64_t revision);
    // The next try starts over with a list, since changes may have been missed.
    void onFailure(const std::string& prefix);

private:
    base::Mutex m_mutex;
    std::map<std::string, WatchState> m_watches;
    base::Instant m_now;
};

} // namespace redwingseam::store
