#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace redwingseam::codec {

// Reads members of a JSON object without exceptions. A member that is missing or of another type yields a
// default value and marks the reader as failed. Stores the key and the expected type of the first failure.
// The object must outlive the reader. Not thread-safe.
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

    // Returns the enumerator named by the string member `key`.
    template<typename Enum>
    Enum enumValue(const char* key);

    // Marks the reader as failed. Intended for a member of the right type whose value is not allowed.
    void fail(const std::string& key, const char* expected);
    bool isGood() const { return !m_hasFailed; }
    // Returns the JSON pointer of the first failure, relative to this reader's object, and what was expected
    // there.
    std::string failure() const { return "/" + m_failedKey + ": expected " + m_expected; }

private:
    const nlohmann::json* member(const char* key);

    const nlohmann::json& m_object;
    bool m_hasFailed = false;
    std::string m_failedKey;
    std::string m_expected;
};

} // namespace redwingseam::codec

#include "redwingseam/base/EnumNames.h"

namespace redwingseam::codec {

template<typename Enum>
Enum JsonReader::enumValue(const char* key)
{
    auto value = base::enumFromName<Enum>(text(key));
    if (!value)
        fail(key, "a known name");
    return value.value_or(Enum {});
}

} // namespace redwingseam::codec
