#include "http/message_rules.h"

#include "http/http_status.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

namespace {

constexpr int firstInterimStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int lastStatus = 599;
constexpr std::size_t statusDigits = 3;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool isTokenCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return isLetter || isDigit(character) || others.find(character) != std::string_view::npos;
}

bool isFieldCharacter(char character)
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= firstVisible && byte != deleteCharacter);
}

bool isVersion(std::string_view text)
{
    // libcurl writes the status line of a later protocol with its major version only.
    return text == "HTTP/1.1" || text == "HTTP/1.0" || text == "HTTP/2";
}

} // namespace

status_class statusClassOf(int status)
{
    if (status < firstInterimStatus || status == switchingProtocols || status > lastStatus) {
        return status_class::invalid;
    }
    return status < statusOk ? status_class::interim : status_class::final_response;
}

std::optional<int> parseStatusLine(std::string_view line)
{
    const std::size_t space = line.find(' ');
    if (space == std::string_view::npos || !isVersion(line.substr(0, space)) || !isFieldValue(line)) {
        return std::nullopt;
    }
    const std::string_view rest = line.substr(space + 1);
    const std::string_view digits = rest.substr(0, statusDigits);
    const bool ends = rest.size() == statusDigits || (rest.size() > statusDigits && rest[statusDigits] == ' ');
    if (digits.size() != statusDigits || !ends || !std::ranges::all_of(digits, isDigit)) {
        return std::nullopt;
    }
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::ranges::all_of(text, isFieldCharacter);
}

const char *framingFaultOf(const header_list &fields)
{
    int codings = 0;
    int lengths = 0;
    for (const auto &[name, value] : fields) {
        if (headerNamesEqual(name, "Transfer-Encoding")) {
            ++codings;
            if (!headerNamesEqual(value, "chunked")) {
                return "transfer coding other than chunked";
            }
        }
        if (headerNamesEqual(name, "Content-Length")) {
            ++lengths;
            if (value.empty() || !std::ranges::all_of(value, isDigit)) {
                return "malformed length";
            }
        }
    }
    if (codings > 1 || lengths > 1 || (codings > 0 && lengths > 0)) {
        return "several lengths or transfer codings";
    }
    return nullptr;
}

} // namespace bronzechute
