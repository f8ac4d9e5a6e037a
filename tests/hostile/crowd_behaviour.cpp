#include "crowd_behaviour.h"

namespace bronzechute {

namespace {

constexpr std::size_t blockBytes = 64UL * 1024;

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string whole;
    while (whole.size() < bytes) {
        whole += text;
    }
    return whole;
}

} // namespace

std::vector<crowd_behaviour> crowdBehaviours(const std::string &target, const std::string &fields,
                                             std::size_t bodyLimit)
{
    const std::string head = "POST " + target + " HTTP/1.1\r\n" + fields;
    const auto length = [](std::size_t bytes) {
        return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
    };
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string block(blockBytes, 'x');
    const std::string wholeChunk = "10000\r\n" + block + "\r\n";
    const std::size_t blocks = bodyLimit / blockBytes;
    constexpr std::size_t headerBytes = 15UL * 1024; // Of the 16 KiB that the pages allow.
    constexpr std::size_t manyCallers = 300; // Each holds little.
    constexpr std::size_t idleCallers = 700; // More than the process has descriptors for.
    std::vector<crowd_behaviour> rows;
    const std::string shortBlock(blockBytes - 1, 'x');
    rows.push_back(
        {"bodies_one_byte_short", 100, head + length(blocks * shortBlock.size() + 1), shortBlock, blocks, 2});
    rows.push_back({"chunked_bodies_without_an_end", 100, head + chunked, wholeChunk, blocks, 2});
    const std::string byteChunk = "1\r\nx\r\n";
    const std::string byteChunks = repeated(byteChunk, blockBytes);
    rows.push_back({"bodies_in_one_byte_chunks", 100, head + chunked, byteChunks,
                    bodyLimit / (byteChunks.size() / byteChunk.size()), 1});
    rows.push_back({"bodies_far_over_the_limit", 100, head + length(1UL << 40), block, 8 * blocks, 2});
    rows.push_back({"many_short_fields", manyCallers,
                    head + length(1).substr(0, length(1).size() - 2) + repeated("a:b\r\n", headerBytes) + "\r\n", "", 0,
                    2});
    rows.push_back(
        {"whole_requests_sent_ahead", 100, "", head + length(bodyLimit) + std::string(bodyLimit, 'x'), 4, 1});
    rows.push_back({"small_requests_sent_ahead", 100, "", repeated(head + length(0), blockBytes), 32, 1});
    rows.push_back({"headers_without_an_end", manyCallers, head + "X: " + std::string(headerBytes, 'x'), "", 0, 2});
    rows.push_back({"connections_that_send_nothing", idleCallers, "", "", 0, 1});
    return rows;
}

} // namespace bronzechute
