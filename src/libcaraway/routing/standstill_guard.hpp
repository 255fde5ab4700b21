#pragma once

#include "libcaraway/base/clock.hpp"

#include <chrono>
#include <optional>

namespace caraway::routing
{

struct standstill_options
{
    /// Time without a look at the peers' socket after which this router may have missed that an
    /// upstream leaves: the socket's buffer holds the datagrams of about this time.
    std::chrono::milliseconds longest_gap{1000};
    /// How long knowledge may stay unconfirmed after that before it is used all the same, as while
    /// nobody reaches the store.
    std::chrono::milliseconds longest_wait{1000};
    /// As much of the time between two looks counts as waited: in a turn of seconds no answer can
    /// have been read.
    std::chrono::milliseconds longest_step{250};
};

/// Keeps a router that stood still from sending requests by what it knew before: until a peer or
/// the store has confirmed its knowledge of upstreams, or nobody can.
class standstill_guard
{
public:
    explicit standstill_guard(standstill_options options = {}) : options_(options) {}

    /// Notes a look at the peers' socket, whatever was read, `gap` after the look before.
    void record_look(base::duration gap);
    /// Notes that the knowledge of upstreams has been confirmed lately enough to be used.
    void record_confirmed()
    {
        waited_.reset();
    }
    /// Whether requests have to wait until the knowledge is confirmed.
    bool is_waiting() const
    {
        return waited_.has_value();
    }

private:
    standstill_options options_;
    /// Time waited for a confirmation; empty while none is needed.
    std::optional<base::duration> waited_;
};

}  // namespace caraway::routing
