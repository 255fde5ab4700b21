#include "libcaraway/net/platform_breaker.hpp"

#include <algorithm>

namespace caraway::net
{

base::duration jittered_pause(std::uint32_t attempt, base::duration first, base::duration longest,
                              double random)
{
    constexpr std::uint32_t most_doublings = 20;
    constexpr double least_factor = 0.5;

    const base::duration doubled = first * (std::int64_t{1} << std::min(attempt, most_doublings));
    const base::duration middle = std::min(doubled, longest);
    return std::chrono::duration_cast<base::duration>(middle * (least_factor + random));
}

void platform_breaker::succeeded()
{
    open_ = false;
    failures_ = 0;
    probes_ = 0;
}

std::optional<base::duration> platform_breaker::failed(double random)
{
    if (open_ || ++failures_ < options_.failures_to_open)
    {
        return std::nullopt;
    }
    open_ = true;
    return next_pause(random);
}

std::optional<base::duration> platform_breaker::probe_failed(double random)
{
    if (!open_)
    {
        return std::nullopt;
    }
    return next_pause(random);
}

base::duration platform_breaker::next_pause(double random)
{
    return jittered_pause(probes_++, options_.first_pause, options_.longest_pause, random);
}

}  // namespace caraway::net
