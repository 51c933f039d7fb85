#include "base/Cbor.h"

#include "base/BoundedJsonBuilder.h"

namespace redwingseam::base {

using nlohmann::json;

std::optional<json> parseCbor(std::string_view bytes)
{
    BoundedJsonBuilder builder(bytes.size());
    if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor, true))
        return std::nullopt;
    return builder.take();
}

} // namespace redwingseam::base
