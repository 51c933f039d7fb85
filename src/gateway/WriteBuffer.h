#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace redwingseam::gateway {

// Bytes that wait to be written to a non-blocking socket.
class WriteBuffer {
public:
    void append(std::string_view bytes) { m_bytes.append(bytes); }
    // Writes as many bytes as the socket accepts. Returns false if the connection has failed.
    bool flush(int descriptor);
    bool isEmpty() const { return m_offset == m_bytes.size(); }
    size_t size() const { return m_bytes.size() - m_offset; }
    void clear();

private:
    std::string m_bytes;
    size_t m_offset = 0;
};

} // namespace redwingseam::gateway
