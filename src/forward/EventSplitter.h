#pragma once

#include "forward/StreamEvent.h"

#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::forward {

// Splits a body of server-sent events into complete events. Buffers an incomplete event until the rest of it arrives.
class EventSplitter {
public:
    // Returns the events that `bytes` complete.
    std::vector<StreamEvent> push(std::string_view bytes);
    // Returns whether an incomplete event is buffered.
    bool hasPartial() const { return !m_partial.empty(); }
    // Returns whether the incomplete event is something other than a comment.
    bool hasPartialContent() const { return hasPartial() && m_partial.front() != ':'; }
    size_t partialBytes() const { return m_partial.size(); }
    void clear() { m_partial.clear(); }

private:
    std::string m_partial;
};

} // namespace redwingseam::forward
