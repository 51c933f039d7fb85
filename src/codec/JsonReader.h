#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace redwingseam::codec {

// Reads members of a JSON object without exceptions. A member that is missing or of another type
// leaves a default and marks the reader as failed; the first failure's key and wanted type are kept.
class JsonReader {
public:
    explicit JsonReader(const nlohmann::json& object)
        : m_object(object)
    {
        if (!object.is_object())
            fail("", "an object");
    }

    std::string text(const char* key);
    uint64_t number(const char* key);
    bool flag(const char* key);
    const nlohmann::json& array(const char* key);
    const nlohmann::json& object(const char* key);
    bool has(const char* key) const { return m_object.is_object() && m_object.contains(key); }

    template<typename Enum>
    Enum named(const char* key);

    // Marks the reader as failed, for checks that go beyond types.
    void fail(const std::string& key, const char* expected);
    bool isGood() const { return !m_isFailed; }
    // JSON pointer of the first failure and what was expected there.
    std::string failure() const { return "/" + m_failedKey + ": expected " + m_expected; }

private:
    const nlohmann::json* member(const char* key);

    const nlohmann::json& m_object;
    bool m_isFailed = false;
    std::string m_failedKey;
    std::string m_expected;
};

} // namespace redwingseam::codec

#include "redwingseam/base/EnumNames.h"

namespace redwingseam::codec {

template<typename Enum>
Enum JsonReader::named(const char* key)
{
    auto value = base::enumFromName<Enum>(text(key));
    if (!value)
        fail(key, "a known name");
    return value.value_or(Enum {});
}

} // namespace redwingseam::codec
