// The memory of buffers whose peers read more slowly than they are written to, or have read all.

#include "gateway/WriteBuffer.h"
#include "base/FileDescriptor.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <malloc.h>
#include <sys/socket.h>
#include <vector>

using namespace redwingseam;

TEST_GROUP(WriteBuffer)
{
    static constexpr size_t blockBytes = 64 * 1024;
    static constexpr size_t maxKeptBytes = 2 * 1024 * 1024;

    base::FileDescriptor writer;
    base::FileDescriptor reader;

    void setup() override
    {
        int sockets[2];
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets);
        writer = base::FileDescriptor(sockets[0]);
        reader = base::FileDescriptor(sockets[1]);
    }

    // Returns the number of bytes that the process has allocated; 0 with the allocator of a sanitizer.
    static size_t allocatedBytes()
    {
        auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    void read(size_t bytes)
    {
        std::string buffer(bytes, '\0');
        CHECK_TRUE(recv(reader.descriptor(), buffer.data(), buffer.size(), 0) > 0);
    }
};

TEST(WriteBuffer, BytesThatWereSentAreNotKeptWhileOthersWait)
{
    gateway::WriteBuffer buffer;
    auto before = allocatedBytes();
    static constexpr size_t waitingBytes = 4 * blockBytes;
    for (int i = 0; i < 200; ++i) {
        buffer.append(std::string(blockBytes, 'a'));
        CHECK_TRUE(buffer.flush(writer.descriptor()));
        while (buffer.size() > 2 * waitingBytes) {
            read(blockBytes);
            CHECK_TRUE(buffer.flush(writer.descriptor()));
        }
        CHECK_TRUE(i < 20 || !buffer.isEmpty());
    }
    CHECK_TRUE(allocatedBytes() < before + maxKeptBytes);
}

TEST(WriteBuffer, BlockOfALargeMessageIsNotKept)
{
    gateway::WriteBuffer buffer;
    auto before = allocatedBytes();
    buffer.append(std::string(4 * 1024 * 1024, 'a'));
    while (!buffer.isEmpty()) {
        CHECK_TRUE(buffer.flush(writer.descriptor()));
        read(blockBytes);
    }
    CHECK_TRUE(allocatedBytes() < before + maxKeptBytes);
}

TEST(WriteBuffer, BlockOfAMessageThatWasSentAtOnceIsNotKept)
{
    static constexpr size_t messageBytes = 100 * 1024;
    std::vector<gateway::WriteBuffer> buffers(50);
    auto before = allocatedBytes();
    for (auto& buffer : buffers) {
        buffer.append(std::string(messageBytes, 'a'));
        CHECK_TRUE(buffer.flush(writer.descriptor()));
        CHECK_TRUE(buffer.isEmpty());
        for (size_t left = messageBytes; left; left -= std::min(left, blockBytes))
            read(std::min(left, blockBytes));
    }
    CHECK_TRUE(allocatedBytes() < before + maxKeptBytes);
}

TEST(WriteBuffer, BytesArriveInOrder)
{
    gateway::WriteBuffer buffer;
    std::string sent;
    std::string received;
    auto receive = [&] {
        char bytes[1000];
        auto count = recv(reader.descriptor(), bytes, sizeof bytes, 0);
        if (count > 0)
            received.append(bytes, static_cast<size_t>(count));
    };
    for (int i = 0; i < 4000; ++i) {
        auto block = std::to_string(i) + std::string(static_cast<size_t>(i) % 997, 'x');
        sent += block;
        buffer.append(block);
        CHECK_TRUE(buffer.flush(writer.descriptor()));
        receive();
    }
    while (received.size() < sent.size()) {
        receive();
        CHECK_TRUE(buffer.flush(writer.descriptor()));
    }
    CHECK_TRUE(buffer.isEmpty());
    CHECK_TRUE(received == sent);
}

TEST(WriteBuffer, ReferencedBytesArriveInOrderAndAreNotCopied)
{
    gateway::WriteBuffer buffer;
    const std::string body(4 * 1024 * 1024, 'b');
    std::string received;
    auto receive = [&] {
        std::string bytes(blockBytes, '\0');
        auto count = recv(reader.descriptor(), bytes.data(), bytes.size(), 0);
        received.append(bytes, 0, static_cast<size_t>(std::max<ssize_t>(count, 0)));
    };
    auto before = allocatedBytes();
    buffer.append("head");
    buffer.appendReference(body);
    LONGS_EQUAL(body.size() + 4, buffer.size());
    CHECK_TRUE(buffer.flush(writer.descriptor()));
    CHECK_FALSE(buffer.isEmpty());
    CHECK_TRUE(allocatedBytes() < before + maxKeptBytes);
    buffer.append("tail");
    buffer.appendReference("end");
    while (!buffer.isEmpty()) {
        receive();
        CHECK_TRUE(buffer.flush(writer.descriptor()));
    }
    while (received.size() < body.size() + 11)
        receive();
    CHECK_TRUE(received == "head" + body + "tailend");
}
