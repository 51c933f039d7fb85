#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingseam::log {

// Structured log message: the name of an event and its fields as a JSON object. `text()` is passed to glog.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& with(std::string_view key, std::string_view value);
    LogLine& with(std::string_view key, uint64_t value);
    std::string text() const { return m_text + "}"; }

private:
    void appendString(std::string_view);

    std::string m_text;
};

} // namespace redwingseam::log
