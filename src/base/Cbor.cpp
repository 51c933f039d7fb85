#include "base/Cbor.h"

#include "base/BoundedJsonBuilder.h"

#include <algorithm>
#include <cstdint>

namespace redwingseam::base {

using nlohmann::json;

// Returns whether a string is sent in parts, without its length. The library recurses into the parts, which may again
// claim to be sent in parts, and its handler is not told. No message of ours has such a string. An item's content follows
// its head, so the heads can be read in a row. Input that ends early is left to the parser.
static bool hasStringInParts(std::string_view bytes)
{
    static constexpr unsigned byteString = 2;
    static constexpr unsigned textString = 3;
    static constexpr unsigned firstLongArgument = 24;
    static constexpr unsigned lastLongArgument = 27;
    static constexpr unsigned indefiniteLength = 31;
    while (!bytes.empty()) {
        auto head = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        bool isString = head >> 5U == byteString || head >> 5U == textString;
        uint64_t argument = head & 31U;
        if (argument == indefiniteLength && isString)
            return true;
        if (argument >= firstLongArgument && argument <= lastLongArgument) {
            auto size = size_t { 1 } << (argument - firstLongArgument);
            if (bytes.size() < size)
                return false;
            argument = 0;
            for (auto byte : bytes.substr(0, size))
                argument = argument << 8U | static_cast<unsigned char>(byte);
            bytes.remove_prefix(size);
        }
        if (isString)
            bytes.remove_prefix(std::min<uint64_t>(argument, bytes.size()));
    }
    return false;
}

std::optional<json> parseCbor(std::string_view bytes)
{
    if (hasStringInParts(bytes))
        return std::nullopt;
    BoundedJsonBuilder builder(bytes.size());
    if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor, true))
        return std::nullopt;
    return builder.take();
}

} // namespace redwingseam::base
