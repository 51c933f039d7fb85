#pragma once

#include "forward/StreamEvent.h"

#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::forward {

// Splits a body of server-sent events into whole events. What follows the last whole event is kept
// until its rest arrives.
class EventSplitter {
public:
    // Returns the events that `bytes` complete.
    std::vector<StreamEvent> push(std::string_view bytes);
    // Whether bytes of an unfinished event are left.
    bool hasPartial() const { return !m_partial.empty(); }
    void clear() { m_partial.clear(); }

private:
    std::string m_partial;
};

} // namespace redwingseam::forward
