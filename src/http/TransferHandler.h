#pragma once

#include "http/HttpResult.h"

#include <concepts>
#include <string_view>

namespace redwingseam::http {

// Handles the responses of a AsyncHttpClient. Each request carries a `Tag`, which is passed to the callbacks.
// `onData` returns whether it consumed the bytes; those it does not consume are buffered for `onDone`. Both
// run on the thread of the client and must not block.
template<typename T>
concept TransferHandler = requires(T& handler, typename T::Context& context, long status, std::string_view bytes, HttpResult result)
{
    {
        handler.onData(context, status, bytes)
        } -> std::same_as<bool>;
    handler.onDone(context, std::move(result));
};

} // namespace redwingseam::http
