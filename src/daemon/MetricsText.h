#pragma once

#include "redwingseam/report/LatencySummary.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::daemon {

// Builds metrics in the Prometheus text format. Not synchronised.
class MetricsText {
public:
    void counter(std::string_view name, uint64_t value) { sample(name, "counter", {}, {}, value); }
    void counter(std::string_view name, std::string_view label, std::string_view labelValue, uint64_t value) { sample(name, "counter", label, labelValue, value); }
    void gauge(std::string_view name, uint64_t value) { sample(name, "gauge", {}, {}, value); }
    void histogram(const std::string& name, std::string_view rank, const report::LatencySummary&);
    std::string text() const;

private:
    struct Family {
        std::string name;
        std::string type;
        std::string samples;
    };

    Family& family(std::string_view name, std::string_view type);
    void sample(std::string_view name, std::string_view type, std::string_view label, std::string_view labelValue, uint64_t value);

    std::vector<Family> m_families;
};

} // namespace redwingseam::daemon
