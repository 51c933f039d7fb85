#include "base/Cbor.h"

namespace redwingseam::base {

using nlohmann::json;

namespace {

    // SAX handler that builds a document and stops the parser before the input exhausts memory or the stack. The
    // library's own handler throws on an excessive length and recurses into deep nesting.
    class BoundedBuilder : public nlohmann::json_sax<json> {
    public:
        explicit BoundedBuilder(size_t maxMembers)
            : m_maxMembers(maxMembers)
        {
        }

        json take() { return std::move(m_root); }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(number_integer_t value) override { return add(value); }
        bool number_unsigned(number_unsigned_t value) override { return add(value); }
        bool number_float(number_float_t value, const string_t&) override { return add(value); }
        bool string(string_t& value) override { return add(std::move(value)); }
        bool binary(binary_t& value) override { return add(json::binary(std::move(value))); }
        bool start_object(size_t members) override { return open(json::object(), members); }
        bool start_array(size_t members) override { return open(json::array(), members); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }
        bool key(string_t& value) override
        {
            m_key = std::move(value);
            return true;
        }
        bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

    private:
        // No message nests as deeply as this.
        static constexpr size_t maxDepth = 16;
        // The parser passes this value for a container of indefinite length.
        static constexpr size_t unknownLength = static_cast<size_t>(-1);

        json* insert(json value)
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

        bool add(json value)
        {
            insert(std::move(value));
            return true;
        }

        bool open(json container, size_t members)
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
        json m_root;
        // Members are added only to the innermost open container, so the pointers remain valid.
        std::vector<json*> m_openContainers;
        std::string m_key;
    };

} // namespace

std::optional<json> parseCbor(std::string_view bytes)
{
    BoundedBuilder builder(bytes.size());
    if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor, true))
        return std::nullopt;
    return builder.take();
}

} // namespace redwingseam::base
