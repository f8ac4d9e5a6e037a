#include "store/base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace bronzechute {

namespace {

const unsigned char *asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    // EVP_EncodeBlock also writes a terminating null byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    const auto isBase64Character = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '+' || character == '/' || character == '=';
    };
    if (text.size() % 4 != 0 || !std::ranges::all_of(text, isBase64Character)) {
        return std::nullopt;
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), asBytes(text), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock decodes padding characters to zero bytes and counts them in the length.
    const auto padding = static_cast<std::size_t>(std::ranges::count(text.substr(text.size() - 2), '='));
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace bronzechute
