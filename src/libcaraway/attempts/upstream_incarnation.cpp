#include "libcaraway/attempts/upstream_incarnation.hpp"

#include "libcaraway/attempts/field_hash.hpp"

namespace caraway::attempts
{

upstream_fingerprint upstream_fingerprint_of(const base::upstream_id& upstream)
{
    return upstream_fingerprint{hash_of<std::uint32_t>({upstream.str()})};
}

crash_fingerprint fingerprint_of(const upstream_incarnation& crashed)
{
    const auto start = static_cast<std::uint64_t>(crashed.process_start.count());
    return {.upstream = upstream_fingerprint_of(crashed.id),
            .start = start_fingerprint{static_cast<std::uint32_t>(start)}};
}

}  // namespace caraway::attempts
