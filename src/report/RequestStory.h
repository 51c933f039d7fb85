#pragma once

#include "report/LogEvent.h"

#include <string>
#include <vector>

namespace redwingseam::report {

// What became of one request, told from the nodes' logs: its own lines, what the node believed then, what happened
// to the upstreams that it was sent to, and the cause if it failed. Not synchronised.
class RequestStory {
public:
    explicit RequestStory(std::string request)
        : m_request(std::move(request))
    {
    }

    // One line of the log of `source`; lines may come in any order.
    void read(std::string_view line, const std::string& source);
    bool isFound() const { return !m_own.empty(); }
    // One sentence a line, in the order of time, then the cause.
    std::string text() const;
    // The same as a JSON document.
    std::string json() const;

private:
    std::vector<LogEvent> told() const;
    std::string cause() const;
    std::string causeOfRefusal(const LogEvent& refusal) const;
    std::string causeOfLoss() const;
    const LogEvent* find(std::string_view event) const;
    bool isAbout(const LogEvent& context) const;

    std::string m_request;
    std::vector<LogEvent> m_own;
    // Lines on dependencies and upstreams.
    std::vector<LogEvent> m_context;
};

} // namespace redwingseam::report
