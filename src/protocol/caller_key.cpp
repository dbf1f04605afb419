#include "protocol/caller_key.hpp"

#include <auburnchute/error.hpp>

#include <array>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <string_view>

namespace auburnchute {

std::string make_caller_key()
{
    std::array<unsigned char, 32> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw error{"keys", "", "the random generator has no entropy"};
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string key{"ak-"};
    for (auto const byte : bytes) {
        key.push_back(digits[byte >> 4U]);
        key.push_back(digits[byte & 0xFU]);
    }
    OPENSSL_cleanse(bytes.data(), bytes.size());
    return key;
}

} // namespace auburnchute
