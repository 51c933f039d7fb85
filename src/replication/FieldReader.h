#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace redwingseam::replication {

// Reads the fields of a JSON array in order. A field that is missing or has the wrong type makes the reader
// invalid. From then on each field reads as zero, false or empty.
class FieldReader {
public:
    explicit FieldReader(const nlohmann::json& array)
        : m_array(array)
    {
        if (!array.is_array())
            m_isValid = false;
    }

    bool isValid() const { return m_isValid; }

    // Reads an integer from 0 to `maxValue`.
    uint64_t number(uint64_t maxValue = INT64_MAX)
    {
        const auto* field = next();
        if (!field || !field->is_number_integer() || (!field->is_number_unsigned() && field->get<int64_t>() < 0) || field->get<uint64_t>() > maxValue) {
            m_isValid = false;
            return 0;
        }
        return field->get<uint64_t>();
    }

    std::string text()
    {
        const auto* field = next();
        if (!field || !field->is_string()) {
            m_isValid = false;
            return {};
        }
        return field->get<std::string>();
    }

    std::string bytes()
    {
        const auto* field = next();
        if (!field || !field->is_binary()) {
            m_isValid = false;
            return {};
        }
        const auto& bytes = field->get_binary();
        return { bytes.begin(), bytes.end() };
    }

    bool flag()
    {
        const auto* field = next();
        if (!field || !field->is_boolean()) {
            m_isValid = false;
            return false;
        }
        return field->get<bool>();
    }

    bool hasMore() const { return m_isValid && m_index < m_array.size(); }
    bool isNull() const { return m_isValid && m_index < m_array.size() && m_array[m_index].is_null(); }
    void skip() { (void)next(); }

    // Reads the next field, which must be an array, with `read(FieldReader&)`.
    template<typename Read>
    void nested(Read&& read)
    {
        const auto* field = next();
        if (!field) {
            m_isValid = false;
            return;
        }
        FieldReader inner(*field);
        read(inner);
        m_isValid = m_isValid && inner.m_isValid;
    }

    // Calls `read(FieldReader&)` for each item of the next field, which must be an array of arrays.
    template<typename Read>
    void forEach(Read&& read)
    {
        const auto* field = next();
        if (!field || !field->is_array()) {
            m_isValid = false;
            return;
        }
        for (const auto& item : *field) {
            FieldReader inner(item);
            read(inner);
            m_isValid = m_isValid && inner.m_isValid;
        }
    }

private:
    const nlohmann::json* next()
    {
        if (!m_isValid || m_index >= m_array.size()) {
            m_isValid = false;
            return nullptr;
        }
        return &m_array[m_index++];
    }

    const nlohmann::json& m_array;
    size_t m_index = 0;
    bool m_isValid = true;
};

} // namespace redwingseam::replication
