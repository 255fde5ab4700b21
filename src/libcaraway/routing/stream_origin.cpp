#include "libcaraway/routing/stream_origin.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

namespace caraway::routing
{

namespace
{

/// For the run, and for its caller's patience after that.
constexpr int resumable_timeouts = 3;

}  // namespace

stream_key key_of(const base::request_id& first_attempt)
{
    return stream_key{scheduling::stable_hash(first_attempt.str())};
}

base::duration resumable_period(const route& served, std::chrono::milliseconds leaving_notice)
{
    return resumable_timeouts * served.timeout + leaving_notice;
}

}  // namespace caraway::routing
