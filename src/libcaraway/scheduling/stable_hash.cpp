#include "libcaraway/scheduling/stable_hash.hpp"

namespace caraway::scheduling
{

namespace
{

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

/// FNV hashes of short, similar names differ little in their high bits. Rendezvous hashing compares
/// whole values, so the bits are mixed by the finaliser of splitmix64.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}  // namespace

std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = fnv_offset;
    for (const char character : text)
    {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    return mix(hash);
}

std::uint64_t combine(std::uint64_t first, std::uint64_t second)
{
    return mix(first * fnv_prime + second);
}

}  // namespace caraway::scheduling
