#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace redwingseam::log {

// One structured log message: an event's name and its fields, as a JSON object. Give `text()` to glog.
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
