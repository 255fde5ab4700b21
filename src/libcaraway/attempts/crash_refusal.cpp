// Builds the error for a refused request. Kept apart from crash_suspects.cpp, which decides on the
// refusal and needs no JSON.
#include "libcaraway/attempts/crash_suspects.hpp"

#include <string>

namespace caraway::attempts
{

caller_error crash_suspects::refusal(request_fingerprint fingerprint, outcome result,
                                     base::time_point now) const
{
    const auto count = crash_count(fingerprint, now);
    auto error = make_caller_error(error_code::crashes_upstreams,
                                   "Refused: crashed " + std::to_string(count) +
                                       (count == 1 ? " upstream." : " upstreams."));
    error.result = result;
    return error;
}

}  // namespace caraway::attempts
