#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

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
    size_t size() const { return m_bytes.size() - m_offset + m_referencedBytes; }
    void clear();

private:
    // Copies the bytes that are only referred to.
    void takeOverReferences();
    void removeWritten(size_t count);
    void clearReferences();

    std::string m_bytes;
    size_t m_offset = 0;
    // Follow the own bytes. Those before `m_nextReference` are written.
    std::vector<std::string_view> m_references;
    size_t m_nextReference = 0;
    size_t m_referencedBytes = 0;
};

} // namespace redwingseam::gateway
