#include "gateway/message_head.h"

#include <array>
#include <cstdio>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace bronzechute {

namespace {

constexpr std::string_view lineEnd = "\r\n";

void appendHeaders(std::string &text, const header_list &headers)
{
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append(lineEnd);
    }
    text.append(lineEnd);
}

} // namespace

std::string formatRequestHead(std::string_view method, std::string_view target, const header_list &headers)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendHeaders(text, headers);
    return text;
}

std::string formatResponseHead(const response_head &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason;
    text.append(lineEnd);
    appendHeaders(text, head.headers);
    return text;
}

std::string reasonOf(int status)
{
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return std::string(reason.data(), reason.size());
}

std::string formatChunk(std::string_view bytes)
{
    std::array<char, 20> size {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk.append(bytes).append(lineEnd);
    return chunk;
}

} // namespace bronzechute
