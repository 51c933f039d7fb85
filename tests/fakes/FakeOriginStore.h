#pragma once

#include "sync/OriginStore.h"

#include <algorithm>

namespace redwingseam::fakes {

// A store of where streams began, which can be down, lose the responses to its writes, and be restored from a copy.
struct FakeOriginStore {
    origin::StoredOrigins content { 1 };
    unsigned reads = 0;
    unsigned writes = 0;
    unsigned failures = 0;
    bool isDown = false;
    bool losesResponses = false;

    base::Result<origin::StoredOrigins> readOrigins()
    {
        if (isDown)
            return unavailable();
        ++reads;
        return content;
    }
    base::Result<uint64_t> writeRecords(const origin::NodeRecords& records)
    {
        auto found = std::find_if(content.nodes.begin(), content.nodes.end(), [&](const auto& node) { return node.node == records.node; });
        bool exists = found != content.nodes.end();
        if (isDown)
            return unavailable();
        if (records.revision != (exists ? found->revision : 0))
            return base::Error { base::ResultCode::PlatformConflict, "other revision" };
        auto& stored = exists ? *found : content.nodes.emplace_back();
        stored = records;
        return acknowledge(stored.revision);
    }
    base::Result<uint64_t> writeStatement(const origin::VersionStatement& statement)
    {
        if (isDown)
            return unavailable();
        if (statement.revision != content.statement.revision)
            return base::Error { base::ResultCode::PlatformConflict, "other revision" };
        content.statement = statement;
        return acknowledge(content.statement.revision);
    }
    void restore(origin::StoredOrigins copy)
    {
        auto era = content.era + 1;
        content = std::move(copy);
        content.era = era;
    }

private:
    base::Error unavailable()
    {
        ++failures;
        return { base::ResultCode::PlatformUnavailable, "down" };
    }
    base::Result<uint64_t> acknowledge(uint64_t& revision)
    {
        revision = ++m_revision;
        ++writes;
        if (losesResponses)
            return unavailable();
        return revision;
    }

    uint64_t m_revision = 10;
};

} // namespace redwingseam::fakes
