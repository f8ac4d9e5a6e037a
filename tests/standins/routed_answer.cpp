#include "standins/routed_answer.h"

#include "standins/token_text.h"

namespace bronzechute::standins {

namespace {

constexpr std::size_t bodyTokens = 40;

} // namespace

std::string routedBody(std::string_view requestId, std::string_view target)
{
    return std::string(requestId) + answerText(std::string(requestId) + std::string(target), 0, bodyTokens);
}

std::string routedEvent(std::string_view requestId, int number)
{
    return "id: " + std::to_string(number) + "\ndata:" + tokenText(requestId, static_cast<std::size_t>(number))
        + "\n\n";
}

std::string routedSignature(std::string_view requestId)
{
    constexpr std::size_t signatureToken = 1000000; // Beyond the tokens of any body.
    return "signed-" + tokenText(requestId, signatureToken).substr(1);
}

} // namespace bronzechute::standins
