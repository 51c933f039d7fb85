#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace redwingseam::replication {

// Reads the fields of an array one after the other. A field that is missing or of another type leaves the
// reader bad, and each further field then reads as empty.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& array)
        : m_array(array)
    {
        if (!array.is_array())
            m_isGood = false;
    }

    bool isGood() const { return m_isGood; }

    uint64_t number(uint64_t largest = INT64_MAX)
    {
        const auto* field = next();
        if (!field || !field->is_number_integer() || (!field->is_number_unsigned() && field->get<int64_t>() < 0) || field->get<uint64_t>() > largest) {
            m_isGood = false;
            return 0;
        }
        return field->get<uint64_t>();
    }

    std::string text()
    {
        const auto* field = next();
        if (!field || !field->is_string()) {
            m_isGood = false;
            return {};
        }
        return field->get<std::string>();
    }

    bool flag()
    {
        const auto* field = next();
        if (!field || !field->is_boolean()) {
            m_isGood = false;
            return false;
        }
        return field->get<bool>();
    }

    bool hasMore() const { return m_isGood && m_index < m_array.size(); }
    bool isNull() const { return m_isGood && m_index < m_array.size() && m_array[m_index].is_null(); }
    void skip() { (void)next(); }

    // Reads the next field, an array, with `read(FieldReader&)`.
    template<typename Read>
    void nested(Read&& read)
    {
        const auto* field = next();
        if (!field) {
            m_isGood = false;
            return;
        }
        FieldReader inner(*field);
        read(inner);
        m_isGood = m_isGood && inner.m_isGood;
    }

    // Reads each item of the next field, an array of arrays.
    template<typename Read>
    void forEach(Read&& read)
    {
        const auto* field = next();
        if (!field || !field->is_array()) {
            m_isGood = false;
            return;
        }
        for (const auto& item : *field) {
            FieldReader inner(item);
            read(inner);
            m_isGood = m_isGood && inner.m_isGood;
        }
    }

private:
    const nlohmann::json* next()
    {
        if (!m_isGood || m_index >= m_array.size()) {
            m_isGood = false;
            return nullptr;
        }
        return &m_array[m_index++];
    }

    const nlohmann::json& m_array;
    size_t m_index = 0;
    bool m_isGood = true;
};

} // namespace redwingseam::replication
