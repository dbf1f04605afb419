#include <auburnchute/ids.hpp>

#include <array>
#include <cstdio>
#include <openssl/evp.h>
#include <xxhash.h>

namespace auburnchute {

std::string to_string(row_ref const& row)
{
    return row.table_ + "/" + row.row_ + "@" + std::to_string(row.version_);
}

std::string to_string(member_id const& member)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(member.incarnation_));
    return member.vm_ + "-" + text.data();
}

std::string to_hex(std::span<unsigned char const> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(bytes.size() * 2);
    for (unsigned char const byte : bytes) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0xFU]);
    }
    return hex;
}

std::string salted_digest(std::string_view salt, std::string_view key)
{
    std::string const input = std::string{salt} + '\n' + std::string{key};
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    EVP_Digest(input.data(), input.size(), bytes.data(), &size, EVP_sha256(), nullptr);
    return to_hex({bytes.data(), size});
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace auburnchute
