#include "standins/scripted_server.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace bronzechute::standins {

namespace {

scripted_request parseRequest(std::string_view text)
{
    scripted_request request;
    const std::size_t headEnd = text.find("\r\n\r\n") + 2;
    const std::string_view head = text.substr(0, headEnd);
    request.body = std::string(text.substr(headEnd + 2));
    const std::size_t firstLine = head.find("\r\n");
    const std::string_view line = head.substr(0, firstLine);
    const std::size_t space = line.find(' ');
    request.method = std::string(line.substr(0, space));
    request.target = std::string(line.substr(space + 1, line.rfind(' ') - space - 1));
    std::size_t begin = firstLine + 2;
    while (begin < head.size()) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string_view field = head.substr(begin, end - begin);
        begin = end + 2;
        const std::size_t colon = field.find(": ");
        if (colon == std::string_view::npos) {
            continue;
        }
        std::string name(field.substr(0, colon));
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        request.headers[name] = std::string(field.substr(colon + 2));
    }
    return request;
}

} // namespace

std::string scripted_request::header(const std::string &lowerCaseName) const
{
    const auto found = headers.find(lowerCaseName);
    return found == headers.end() ? std::string() : found->second;
}

scripted_server::scripted_server(handler answer, std::uint16_t port)
    : m_answer(std::move(answer)), m_server([this](raw_connection &connection, int) { serve(connection); }, port)
{
}

std::string scripted_server::address() const
{
    return m_server.url().substr(std::string_view("http://").size());
}

void scripted_server::serve(raw_connection &connection)
{
    for (bool keeps = true; keeps;) {
        const std::string text = connection.readRequest();
        if (text.empty()) {
            return;
        }
        ++m_requests;
        keeps = m_answer(parseRequest(text), connection);
    }
}

} // namespace bronzechute::standins
