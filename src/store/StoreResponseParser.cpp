#include "store/StoreResponseParser.h"

#include "base/JsonText.h"
#include "codec/JsonReader.h"
#include "codec/ObjectCodec.h"

namespace redwingseam::store {

static std::optional<uint64_t> numberOf(const base::JsonText& object, std::string_view name)
{
    auto member = object.member(name);
    auto value = member ? member->parse() : std::nullopt;
    if (!value || !value->is_number_unsigned())
        return std::nullopt;
    return value->get<uint64_t>();
}

std::optional<StoredObject> parseStoredObject(std::string_view json)
{
    base::JsonText text(json);
    auto version = numberOf(text, "version");
    if (!version)
        return std::nullopt;
    StoredObject object { { *version }, std::nullopt };
    if (auto value = text.member("value")) {
        auto document = value->parse();
        if (!document || !document->is_object())
            return std::nullopt;
        object.value = codec::parseObject(value->text());
    }
    return object;
}

static std::optional<ObjectChanged> parseChange(const base::JsonText& text)
{
    auto document = text.parse();
    if (!document)
        return std::nullopt;
    codec::JsonReader reader(*document);
    ObjectChanged change { { reader.text("key") }, { reader.number("version") }, std::nullopt };
    bool isDeleted = reader.has("deleted") && reader.flag("deleted");
    auto value = text.member("value");
    if (!isDeleted && value)
        change.value = codec::parseObject(value->text());
    bool isKnown = isDeleted || change.value;
    if (!reader.isGood() || !isKnown)
        return std::nullopt;
    return change;
}

std::optional<StoreChanges> parseStoreChanges(std::string_view json)
{
    base::JsonText text(json);
    auto revision = numberOf(text, "revision");
    auto list = text.member("objects");
    auto objects = list ? list->elements() : std::nullopt;
    if (!revision || !objects)
        return std::nullopt;
    StoreChanges result { *revision, {} };
    for (const auto& object : *objects) {
        if (auto change = parseChange(object))
            result.changes.push_back(std::move(*change));
    }
    return result;
}

} // namespace redwingseam::store
