#pragma once

#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/workspace_shares.hpp"

#include <limits>

namespace caraway::routing
{

struct admission_options
{
    /// Of the time in which an answer is on time, the part that a request within its workspace's
    /// share may wait behind other prompts at an engine.
    double engine_wait = 0.6;
    /// And the part that it may wait at the router for a place.
    double queue_time = 0.5;
    /// The same for a request beyond its workspace's share while nobody is backlogged: it takes
    /// what would idle.
    double engine_wait_beyond = 0.6;
    /// And while somebody is.
    double engine_wait_contended = 0.25;
    double queue_time_beyond = 0.12;
    /// Part of an engine's slots open to requests beyond their share; the rest is kept so that
    /// those within it find a place at once.
    double slot_share_beyond = 0.95;
    double slot_share_contended = 0.65;
    /// Tokens of shared parts that an engine may read anew for a request beyond its share while
    /// somebody is backlogged: such reading takes from those within theirs.
    std::uint32_t repeated_tokens_contended = 300;
    /// A workspace beyond its share gets nothing more once it has had so many times what another
    /// has that asks for more than its share and waits: that one's callers may all hold on to one
    /// VM that can't carry more, and engines that would idle don't make up for it.
    double max_excess_ratio = 1.6;
    /// How fast both shrink for a workspace that is ahead of a backlogged one.
    double excess_slope = 3;
    /// Requests that may wait at a router for each that fits an upstream's slots.
    std::size_t max_queue_length = 200;
};

/// On which terms a request looks for a place.
struct admission_terms
{
    milliseconds longest_wait{};
    double slot_share = 1;
    /// Tokens of shared prompt parts that may be read anew for it.
    std::uint32_t max_repeated_tokens = std::numeric_limits<std::uint32_t>::max();
    /// How long it may wait at the router; then it is refused.
    milliseconds max_queue_time{};
    /// No place at all now.
    bool blocked = false;
};

admission_terms admit(const route& by, const share_status& of,
                      const admission_options& options = {});

/// When a refused caller should come back: `draw` is uniform in [0, 1) and spreads those refused at
/// one moment. A caller within its share comes back soon, while its answer can still be on time;
/// one beyond it when the window over which shares are kept has moved on.
milliseconds retry_after(const route& by, double share_used, double draw);

}  // namespace caraway::routing
