#pragma once

#include "redwingseam/platform/ObjectChanged.h"
#include "redwingseam/platform/PlatformReply.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::fakes {

// The platform's object service: versions and conditional writes.
class FakeStore {
public:
    // Carries a call out and says what became of it.
    platform::PlatformReply apply(const platform::PlatformCall& call)
    {
        ++m_calls;
        auto found = m_objects.find(call.key);
        auto current = found == m_objects.end() ? base::ObjectVersion {} : found->second.version;
        platform::PlatformReply reply { call, platform::CallOutcome::Done, current, std::nullopt };
        if (call.kind == platform::CallKind::Read) {
            if (found == m_objects.end())
                reply.outcome = platform::CallOutcome::Absent;
            else
                reply.value = found->second.value;
            return reply;
        }
        ++m_writes;
        bool isConditional = call.kind == platform::CallKind::Create || call.kind == platform::CallKind::Update;
        auto expected = call.kind == platform::CallKind::Create ? base::ObjectVersion {} : call.expected;
        if (isConditional && expected != current) {
            reply.outcome = platform::CallOutcome::Conflict;
            if (found != m_objects.end())
                reply.value = found->second.value;
            return reply;
        }
        reply.version = { ++m_revision };
        m_objects[call.key] = { call.key, reply.version, call.value };
        return reply;
    }

    // Writes an object from outside.
    platform::ObjectChanged put(const base::ObjectKey& key, platform::ObjectValue value)
    {
        m_objects[key] = { key, { ++m_revision }, std::move(value) };
        return m_objects[key];
    }

    std::vector<platform::ObjectChanged> list(const std::string& prefix) const
    {
        std::vector<platform::ObjectChanged> result;
        for (const auto& [key, object] : m_objects) {
            if (key.text.starts_with(prefix))
                result.push_back(object);
        }
        return result;
    }

    const platform::ObjectChanged* find(const base::ObjectKey& key) const
    {
        auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    uint64_t calls() const { return m_calls; }
    uint64_t writes() const { return m_writes; }

private:
    std::map<base::ObjectKey, platform::ObjectChanged> m_objects;
    uint64_t m_revision = 0;
    uint64_t m_calls = 0;
    uint64_t m_writes = 0;
};

} // namespace redwingseam::fakes
