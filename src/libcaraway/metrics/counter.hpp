#pragma once

#include <atomic>
#include <cstdint>

namespace caraway::metrics
{

/// A monotonic counter that starts at 0 with the process. Thread-safe; add() is one relaxed atomic
/// addition.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

}  // namespace caraway::metrics
