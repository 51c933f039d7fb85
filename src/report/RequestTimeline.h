#pragma once

#include "report/LogEvent.h"

#include <string>
#include <vector>

namespace redwingseam::report {

// Reconstructs the course of one request from the nodes' logs: its own events, the state known to the node at the
// time, the events of the upstreams that it was sent to, and the cause of a failure. Not synchronised.
class RequestTimeline {
public:
    explicit RequestTimeline(std::string request)
        : m_request(std::move(request))
    {
    }

    // Reads one line of the log of `source`. Lines may come in any order; malformed lines are ignored.
    void read(std::string_view line, const std::string& source);
    bool isFound() const { return !m_requestEvents.empty(); }
    // Returns one line of text per event in time order, followed by the cause.
    std::string text() const;
    // Returns the same as a JSON document.
    std::string json() const;

private:
    std::vector<LogEvent> orderedEvents() const;
    std::string describeCause() const;
    std::string describeRefusal(const LogEvent& refusal) const;
    std::string describeLosses() const;
    const LogEvent* findEvent(std::string_view event) const;
    bool isRelevant(const LogEvent& context) const;

    std::string m_request;
    std::vector<LogEvent> m_requestEvents;
    // Events of dependencies and upstreams.
    std::vector<LogEvent> m_contextEvents;
};

} // namespace redwingseam::report
