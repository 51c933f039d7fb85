#include "gateway/MessageFraming.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace redwingseam::gateway {

namespace http = boost::beast::http;

bool isFramingClear(const http::fields& headers, unsigned version)
{
    static constexpr unsigned http11 = 11;
    auto codings = headers.count(http::field::transfer_encoding);
    auto lengths = headers.count(http::field::content_length);
    if (codings + lengths > 1)
        return false;
    if (codings)
        return version >= http11 && boost::beast::iequals(headers[http::field::transfer_encoding], "chunked");
    auto length = headers[http::field::content_length];
    return !lengths || (!length.empty() && std::all_of(length.begin(), length.end(), [](char digit) { return digit >= '0' && digit <= '9'; }));
}

} // namespace redwingseam::gateway
