#include "pomeloloft/base/hash.hpp"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace pomeloloft {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second)
{
    return XXH3_64bits_withSeed(&second, sizeof second, first);
}

std::string to_hex(std::uint64_t value)
{
    constexpr int digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return {text.data(), digits};
}

} // namespace pomeloloft
