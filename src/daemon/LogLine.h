#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace redwingseam::daemon {

// One structured log message: an event's name and its fields, as a JSON object. Give `text()` to glog.
class LogLine {
public:
    explicit LogLine(std::string_view event);
    ~LogLine();

    LogLine& with(const char* key, std::string_view value);
    LogLine& with(const char* key, uint64_t value);
    std::string text() const;

private:
    struct Fields;
    std::unique_ptr<Fields> m_fields;
};

} // namespace redwingseam::daemon
