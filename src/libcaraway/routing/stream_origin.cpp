#include "libcaraway/routing/stream_origin.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

namespace caraway::routing
{

stream_key key_of(const base::request_id& first_attempt)
{
    return stream_key{scheduling::stable_hash(first_attempt.str())};
}

}  // namespace caraway::routing
