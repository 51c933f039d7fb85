#include "base/Compression.h"

#include <array>
#include <zlib.h>

namespace redwingseam::base {

static constexpr size_t blockBytes = 16 * 1024;
// Without zlib's header and checksum.
static constexpr int rawWindowBits = -MAX_WBITS;

static void setInput(z_stream& stream, std::string_view bytes)
{
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
}

// Runs `process` until it returns something other than Z_OK, and collects its output. Returns the last result.
template<typename Process>
static int collect(z_stream& stream, std::string& output, size_t maxBytes, Process&& process)
{
    int result = Z_OK;
    while (result == Z_OK && output.size() <= maxBytes) {
        std::array<char, blockBytes> block {};
        stream.next_out = reinterpret_cast<Bytef*>(block.data());
        stream.avail_out = block.size();
        result = process();
        output.append(block.data(), block.size() - stream.avail_out);
    }
    return result;
}

std::string compress(std::string_view text)
{
    // Fast rather than small: gateways compress on a part of a core.
    static constexpr int level = 3;
    static constexpr int memoryLevel = 8;
    z_stream stream {};
    deflateInit2(&stream, level, Z_DEFLATED, rawWindowBits, memoryLevel, Z_DEFAULT_STRATEGY);
    setInput(stream, text);
    std::string bytes;
    collect(stream, bytes, SIZE_MAX, [&] { return deflate(&stream, Z_FINISH); });
    deflateEnd(&stream);
    return bytes;
}

std::optional<std::string> decompress(std::string_view bytes, size_t maxBytes)
{
    z_stream stream {};
    inflateInit2(&stream, rawWindowBits);
    setInput(stream, bytes);
    std::string text;
    int result = collect(stream, text, maxBytes, [&] { return inflate(&stream, Z_NO_FLUSH); });
    inflateEnd(&stream);
    if (result != Z_STREAM_END || text.size() > maxBytes)
        return std::nullopt;
    return text;
}

} // namespace redwingseam::base
