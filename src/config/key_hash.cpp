#include "config/key_hash.h"

#include <array>
#include <openssl/sha.h>

namespace bronzechute {

std::string keyHash(std::string_view key)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    std::string text;
    text.reserve(2 * digest.size());
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4];
        text += digits[byte & 0xF];
    }
    return text;
}

} // namespace bronzechute
