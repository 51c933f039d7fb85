#pragma once

#include "platform/QuarantineCodec.h"

#include <string>

namespace redwingseam::fakes {

// A store of what crashes upstreams, which can be down, lose the responses to its writes, and be restored from a copy. It keeps the
// object as the platform's adapter writes it.
struct FakeQuarantineStore {
    std::string text;
    uint64_t revision = 0;
    uint64_t era = 1;
    unsigned reads = 0;
    unsigned writes = 0;
    bool isDown = false;
    bool losesResponses = false;

    base::Result<sync::StoredQuarantine> readQuarantine(const sync::ClockReading& reading)
    {
        if (isDown)
            return unavailable();
        ++reads;
        auto quarantine = platform::parseQuarantinePage(R"({"items":[)" + text + "]}", reading);
        if (quarantine)
            quarantine.value().era = era;
        return quarantine;
    }

    base::Result<uint64_t> writeQuarantine(sync::StoredQuarantine quarantine, const sync::ClockReading& reading)
    {
        if (isDown)
            return unavailable();
        if (quarantine.revision != revision)
            return base::Error { base::ResultCode::PlatformConflict, "other revision" };
        ++writes;
        quarantine.revision = ++revision;
        text = platform::formatQuarantine(quarantine, reading);
        if (losesResponses)
            return unavailable();
        return revision;
    }

    void restore(const FakeQuarantineStore& copy)
    {
        text = copy.text;
        revision = copy.revision;
        ++era;
    }

private:
    static base::Error unavailable() { return { base::ResultCode::PlatformUnavailable, "down" }; }
};

} // namespace redwingseam::fakes
