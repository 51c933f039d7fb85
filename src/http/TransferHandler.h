#pragma once

#include "http/HttpResult.h"

#include <concepts>
#include <string_view>

namespace redwingseam::http {

// Takes the answers of a CurlLoop. `Tag` travels with each request. `onData` returns whether it
// consumed the bytes; otherwise they are collected for `onDone`. Both run on the loop's thread and may
// not wait.
template<typename T>
concept TransferHandler = requires(T& handler, typename T::Tag& tag, long status, std::string_view bytes, HttpResult result)
{
    {
        handler.onData(tag, status, bytes)
        } -> std::same_as<bool>;
    handler.onDone(tag, std::move(result));
};

} // namespace redwingseam::http
