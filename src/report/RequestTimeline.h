#pragma once

#include "report/LogEvent.h"

#include <string>
#include <vector>

namespace redwingseam::report {

// What became of one request, told from the nodes' logs: its own lines, what the node believed then, what happened
// to the upstreams that it was sent to, and the cause if it failed. Not synchronised.
class RequestTimeline {
public:
    explicit RequestTimeline(std::string request)
        : m_request(std::move(request))
    {
    }

    // One line of the log of `source`; lines may come in any order.
    void read(std::string_view line, const std::string& source);
    bool isFound() const { return !m_requestEvents.empty(); }
    // One sentence a line, in the order of time, then the cause.
    std::string text() const;
    // The same as a JSON document.
    std::string json() const;

private:
    std::vector<LogEvent> orderedEvents() const;
    std::string cause() const;
    std::string refusalCause(const LogEvent& refusal) const;
    std::string lossCause() const;
    const LogEvent* findEvent(std::string_view event) const;
    bool isRelevant(const LogEvent& context) const;

    std::string m_request;
    std::vector<LogEvent> m_requestEvents;
    // Lines on dependencies and upstreams.
    std::vector<LogEvent> m_contextEvents;
};

} // namespace redwingseam::report
