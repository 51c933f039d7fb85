#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace redwingseam::gateway {

// Bytes that wait to be written to a non-blocking socket.
class WriteBuffer {
public:
    void append(std::string_view bytes);
    // Appends bytes that the caller keeps unchanged until the buffer is empty.
    void appendReference(std::string_view bytes);
    // Writes as many bytes as the socket accepts. Returns false if the connection has failed.
    bool flush(int descriptor);
    bool isEmpty() const { return size() == 0; }
    size_t size() const { return m_bytes.size() - m_offset + m_referenced.size(); }
    void clear();

private:
    // Copies the bytes that are only referred to.
    void takeOverReference();
    void removeWritten(size_t count);

    std::string m_bytes;
    size_t m_offset = 0;
    // Follows the own bytes.
    std::string_view m_referenced;
};

} // namespace redwingseam::gateway
