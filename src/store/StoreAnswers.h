#pragma once

#include "http/HttpResult.h"
#include "redwingseam/store/PlatformReply.h"
#include "store/StoreReply.h"
#include "store/StoreTag.h"
#include "store/WatchTable.h"

#include <concepts>

namespace redwingseam::store {

// Takes what the platform's store answers.
template<typename T>
concept StoreEvents = requires(T& events, const PlatformReply& reply, const ObjectChanged& changed)
{
    events.handle(reply);
    events.handle(changed);
};

// Turns what the platform's store answers into events.
template<StoreEvents Events>
class StoreAnswers {
public:
    using Tag = StoreTag;

    StoreAnswers(Events& events, WatchTable& watches)
        : m_events(events)
        , m_watches(watches)
    {
    }

    bool onData(Tag&, long, std::string_view) { return false; }

    void onDone(Tag& tag, const http::HttpResult& result)
    {
        if (tag.call)
            onCallDone(*tag.call, result);
        else
            onWatchDone(tag.watchedPrefix, result);
    }

private:
    static constexpr long statusAbsent = 404;
    static constexpr long statusConflict = 412;
    static constexpr long statusThrottled = 429;

    static CallOutcome outcomeOf(const http::HttpResult& result)
    {
        if (!result.isComplete)
            return CallOutcome::Unknown;
        switch (result.status) {
        case 200:
            return CallOutcome::Done;
        case statusAbsent:
            return CallOutcome::Absent;
        case statusConflict:
            return CallOutcome::Conflict;
        case statusThrottled:
            return CallOutcome::Throttled;
        default:
            return CallOutcome::Unknown;
        }
    }

    void onCallDone(PlatformCall& call, const http::HttpResult& result)
    {
        PlatformReply reply { std::move(call), outcomeOf(result), {}, std::nullopt };
        if (auto object = parseStoredObject(result.body)) {
            reply.version = object->version;
            reply.value = std::move(object->value);
        }
        m_events.handle(reply);
    }

    void onWatchDone(const std::string& prefix, const http::HttpResult& result)
    {
        auto changes = result.isComplete && result.status == 200 ? parseStoreChanges(result.body) : std::nullopt;
        if (!changes) {
            m_watches.onFailed(prefix);
            return;
        }
        // The events go first, so that the next answer cannot overtake this one.
        for (const auto& change : changes->changes)
            m_events.handle(change);
        m_watches.onAnswered(prefix, changes->revision);
    }

    Events& m_events;
    WatchTable& m_watches;
};

} // namespace redwingseam::store
