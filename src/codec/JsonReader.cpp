#include "codec/JsonReader.h"

namespace redwingseam::codec {

static const nlohmann::json emptyArray = nlohmann::json::array();
static const nlohmann::json emptyObject = nlohmann::json::object();

void JsonReader::fail(const std::string& key, const char* expected)
{
    if (m_hasFailed)
        return;
    m_hasFailed = true;
    m_failedKey = key;
    m_expected = expected;
}

const nlohmann::json* JsonReader::member(const char* key)
{
    if (!m_object.is_object())
        return nullptr;
    auto found = m_object.find(key);
    return found == m_object.end() ? nullptr : &*found;
}

std::string JsonReader::text(const char* key)
{
    const auto* value = member(key);
    if (value && value->is_string())
        return value->get<std::string>();
    fail(key, "a string");
    return {};
}

uint64_t JsonReader::number(const char* key)
{
    const auto* value = member(key);
    if (value && value->is_number_unsigned())
        return value->get<uint64_t>();
    fail(key, "a non-negative integer");
    return 0;
}

bool JsonReader::flag(const char* key)
{
    const auto* value = member(key);
    if (value && value->is_boolean())
        return value->get<bool>();
    fail(key, "true or false");
    return false;
}

const nlohmann::json& JsonReader::array(const char* key)
{
    const auto* value = member(key);
    if (value && value->is_array())
        return *value;
    fail(key, "an array");
    return emptyArray;
}

const nlohmann::json& JsonReader::object(const char* key)
{
    const auto* value = member(key);
    if (value && value->is_object())
        return *value;
    fail(key, "an object");
    return emptyObject;
}

} // namespace redwingseam::codec
