#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace redwingseam::base {

// SAX handler that builds a document and stops the parser before the input exhausts memory or the stack. The library's
// own handler throws on an excessive length, and its parser of binary input recurses into deep nesting.
class BoundedJsonBuilder : public nlohmann::json_sax<nlohmann::json> {
public:
    using Json = nlohmann::json;

    // `maxMembers` limits the length that a container may announce.
    explicit BoundedJsonBuilder(size_t maxMembers)
        : m_maxMembers(maxMembers)
    {
    }

    Json take() { return std::move(m_root); }

    bool null() override { return add(nullptr); }
    bool boolean(bool value) override { return add(value); }
    bool number_integer(number_integer_t value) override { return add(value); }
    bool number_unsigned(number_unsigned_t value) override { return add(value); }
    bool number_float(number_float_t value, const string_t&) override { return add(value); }
    bool string(string_t& value) override { return add(std::move(value)); }
    bool binary(binary_t& value) override { return add(Json::binary(std::move(value))); }
    bool start_object(size_t members) override { return open(Json::object(), members); }
    bool start_array(size_t members) override { return open(Json::array(), members); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t& value) override
    {
        m_key = std::move(value);
        return true;
    }
    bool parse_error(size_t, const std::string&, const Json::exception&) override { return false; }

private:
    // No message nests as deeply as this.
    static constexpr size_t maxDepth = 16;
    // The parser passes this value for a container of indefinite length.
    static constexpr size_t unknownLength = static_cast<size_t>(-1);

    Json* insert(Json value)
    {
        if (m_openContainers.empty()) {
            m_root = std::move(value);
            return &m_root;
        }
        auto& parent = *m_openContainers.back();
        if (parent.is_object())
            return &(parent[m_key] = std::move(value));
        parent.push_back(std::move(value));
        return &parent.back();
    }

    bool add(Json value)
    {
        insert(std::move(value));
        return true;
    }

    bool open(Json container, size_t members)
    {
        if (m_openContainers.size() >= maxDepth || (members != unknownLength && members > m_maxMembers))
            return false;
        m_openContainers.push_back(insert(std::move(container)));
        return true;
    }

    bool close()
    {
        m_openContainers.pop_back();
        return true;
    }

    size_t m_maxMembers;
    Json m_root;
    // Members are added only to the innermost open container, so the pointers remain valid.
    std::vector<Json*> m_openContainers;
    std::string m_key;
};

} // namespace redwingseam::base
