#pragma once

#include "http/HttpResult.h"
#include "redwingseam/store/StoreReply.h"
#include "store/StoreRequestContext.h"
#include "store/StoreResponseParser.h"
#include "store/WatchTable.h"

#include <concepts>

namespace redwingseam::store {

// Receives events made from the responses of the platform's store.
template<typename T>
concept StoreEventHandler = requires(T& handler, const StoreReply& reply, const ObjectChanged& changed)
{
    handler.handle(reply);
    handler.handle(changed);
};

// Converts responses of the platform's store to events.
template<StoreEventHandler Handler>
class StoreResponseHandler {
public:
    using Context = StoreRequestContext;

    StoreResponseHandler(Handler& handler, WatchTable& watches)
        : m_handler(handler)
        , m_watches(watches)
    {
    }

    bool onData(Context&, long, std::string_view) { return false; }

    void onDone(Context& context, const http::HttpResult& result)
    {
        if (context.call)
            onCallDone(*context.call, result);
        else
            onWatchDone(context.watchedPrefix, result);
    }

private:
    static constexpr long statusNotFound = 404;
    static constexpr long statusPreconditionFailed = 412;
    static constexpr long statusTooManyRequests = 429;

    static CallOutcome outcomeOf(const http::HttpResult& result)
    {
        if (!result.isComplete)
            return CallOutcome::Unknown;
        switch (result.status) {
        case 200:
            return CallOutcome::Done;
        case statusNotFound:
            return CallOutcome::Absent;
        case statusPreconditionFailed:
            return CallOutcome::Conflict;
        case statusTooManyRequests:
            return CallOutcome::Throttled;
        default:
            return CallOutcome::Unknown;
        }
    }

    void onCallDone(StoreCall& call, const http::HttpResult& result)
    {
        StoreReply reply { std::move(call), outcomeOf(result), {}, std::nullopt };
        if (auto object = parseStoredObject(result.body)) {
            reply.version = object->version;
            reply.value = std::move(object->value);
        }
        m_handler.handle(reply);
    }

    void onWatchDone(const std::string& prefix, const http::HttpResult& result)
    {
        auto changes = result.isComplete && result.status == 200 ? parseStoreChanges(result.body) : std::nullopt;
        if (!changes) {
            m_watches.onFailure(prefix);
            return;
        }
        // The events are handled before the watch is renewed, so that the next response cannot overtake this one.
        for (const auto& change : changes->changes)
            m_handler.handle(change);
        m_watches.onResponse(prefix, changes->revision);
    }

    Handler& m_handler;
    WatchTable& m_watches;
};

} // namespace redwingseam::store
