#pragma once

#include "redwingseam/store/ObjectChanged.h"
#include "redwingseam/store/StoreReply.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace redwingseam::fakes {

// The platform's object store in memory, with object versions and conditional writes.
class FakeStore {
public:
    // Executes a call and returns its outcome.
    store::StoreReply apply(const store::StoreCall& call)
    {
        ++m_calls;
        auto found = m_objects.find(call.key);
        auto current = found == m_objects.end() ? base::ObjectVersion {} : found->second.version;
        store::StoreReply reply { call, store::CallOutcome::Done, current, std::nullopt };
        if (call.kind == store::CallKind::Read) {
            if (found == m_objects.end())
                reply.outcome = store::CallOutcome::Absent;
            else
                reply.value = found->second.value;
            return reply;
        }
        ++m_writes;
        bool isConditional = call.kind == store::CallKind::Create || call.kind == store::CallKind::Update;
        auto expected = call.kind == store::CallKind::Create ? base::ObjectVersion {} : call.expectedVersion;
        if (isConditional && expected != current) {
            reply.outcome = store::CallOutcome::Conflict;
            if (found != m_objects.end())
                reply.value = found->second.value;
            return reply;
        }
        reply.version = { ++m_revision };
        m_objects[call.key] = { call.key, reply.version, call.value };
        return reply;
    }

    // Writes an object unconditionally, as a client other than the nodes does.
    store::ObjectChanged put(const base::ObjectKey& key, store::ObjectValue value)
    {
        m_objects[key] = { key, { ++m_revision }, std::move(value) };
        return m_objects[key];
    }

    std::vector<store::ObjectChanged> list(const std::string& prefix) const
    {
        std::vector<store::ObjectChanged> result;
        for (const auto& [key, object] : m_objects) {
            if (key.text.starts_with(prefix))
                result.push_back(object);
        }
        return result;
    }

    const store::ObjectChanged* find(const base::ObjectKey& key) const
    {
        auto found = m_objects.find(key);
        return found == m_objects.end() ? nullptr : &found->second;
    }

    uint64_t calls() const { return m_calls; }
    uint64_t writes() const { return m_writes; }

private:
    std::map<base::ObjectKey, store::ObjectChanged> m_objects;
    uint64_t m_revision = 0;
    uint64_t m_calls = 0;
    uint64_t m_writes = 0;
};

} // namespace redwingseam::fakes
