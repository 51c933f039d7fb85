#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace redwingseam::http {

// The body of a request, in blocks that are allocated as it arrives, whatever length the client has announced. A body in one
// piece would be allocated as a whole, or moved and held twice each time it grows. Not synchronised.
class RequestBody {
public:
    using Blocks = std::vector<std::string>;

    // States the length that the client has announced, in bytes.
    void expect(uint64_t length) { m_expectedBytes = length; }
    void append(std::string_view);

    size_t size() const { return m_size; }
    bool isEmpty() const { return !m_size; }
    // Returns the memory that the blocks take, in bytes.
    size_t allocatedBytes() const { return m_allocatedBytes; }
    const Blocks& blocks() const { return m_blocks; }
    // Returns the body in one piece.
    std::string text() const;
    // Returns a hash that is the same for the same bytes, however they arrived.
    uint64_t hash(uint64_t seed) const;

private:
    static constexpr size_t minBlockBytes = 4 * 1024;
    static constexpr size_t maxBlockBytes = 16 * 1024;

    void addBlock();

    Blocks m_blocks;
    size_t m_size = 0;
    size_t m_allocatedBytes = 0;
    uint64_t m_expectedBytes = std::numeric_limits<uint64_t>::max();
};

} // namespace redwingseam::http
