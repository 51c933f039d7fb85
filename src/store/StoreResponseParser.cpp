#include "store/StoreResponseParser.h"

#include "codec/JsonReader.h"
#include "codec/ObjectCodec.h"

namespace redwingseam::store {

std::optional<StoredObject> parseStoredObject(std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    StoredObject object { { reader.number("version") }, std::nullopt };
    if (reader.has("value"))
        object.value = codec::parseObject(reader.object("value").dump());
    if (!reader.isGood())
        return std::nullopt;
    return object;
}

std::optional<StoreChanges> parseStoreChanges(std::string_view json)
{
    auto document = nlohmann::json::parse(json, nullptr, false);
    if (document.is_discarded())
        return std::nullopt;
    codec::JsonReader reader(document);
    StoreChanges result { reader.number("revision"), {} };
    for (const auto& item : reader.array("objects")) {
        codec::JsonReader object(item);
        ObjectChanged change { { object.text("key") }, { object.number("version") }, std::nullopt };
        bool isDeleted = object.has("deleted") && object.flag("deleted");
        if (!isDeleted)
            change.value = codec::parseObject(object.object("value").dump());
        if (!object.isGood())
            return std::nullopt;
        if (isDeleted || change.value)
            result.changes.push_back(std::move(change));
    }
    if (!reader.isGood())
        return std::nullopt;
    return result;
}

} // namespace redwingseam::store
