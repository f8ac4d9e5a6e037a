#include "standins/completion_format.h"

#include "standins/token_text.h"

namespace bronzechute::standins {

completion_format::completion_format(const completion_request &request, const std::string &model, std::uint64_t number)
    : m_request(request)
{
    const std::string id = (request.chat ? "chatcmpl-" : "cmpl-") + std::to_string(number);
    const std::string common = R"({"id":")" + id + R"(","created":1700000000,"model":")" + model + R"(","object":")";
    m_prefix = common + (request.chat ? "chat.completion" : "text_completion") + "\",";
    m_chunkPrefix = "data: " + common + (request.chat ? "chat.completion.chunk" : "text_completion") + "\",";
}

std::string completion_format::whole(std::size_t end) const
{
    const std::string text = answerText(m_request.prompt, m_request.firstToken, end);
    const std::string content =
        m_request.chat ? R"("message":{"role":"assistant","content":")" + text + "\"}" : R"("text":")" + text + "\"";
    return m_prefix + R"("choices":[{"index":0,)" + content + R"(,"finish_reason":"length"}],)" + usage(end) + "}";
}

std::string completion_format::tokenEvent(std::size_t index) const
{
    const std::string text = tokenText(m_request.prompt, index);
    const std::string content = m_request.chat ? R"("delta":{"content":")" + text + "\"}" : R"("text":")" + text + "\"";
    return m_chunkPrefix + R"("choices":[{"index":0,)" + content + R"(,"finish_reason":null}]})" + "\n\n";
}

std::string completion_format::lastEvents(std::size_t end) const
{
    const std::string content = m_request.chat ? R"("delta":{})" : R"("text":"")";
    return m_chunkPrefix + R"("choices":[{"index":0,)" + content + R"(,"finish_reason":"length"}],)" + usage(end)
        + "}\n\ndata: [DONE]\n\n";
}

std::string completion_format::usage(std::size_t end) const
{
    constexpr std::size_t bytesPerToken = 4;
    const std::size_t promptTokens = m_request.prompt.size() / bytesPerToken + m_request.continuedTokens;
    const std::size_t tokens = end - m_request.firstToken;
    return R"("usage":{"prompt_tokens":)" + std::to_string(promptTokens) + R"(,"completion_tokens":)"
        + std::to_string(tokens) + R"(,"total_tokens":)" + std::to_string(promptTokens + tokens) + "}";
}

} // namespace bronzechute::standins
