#pragma once

#include <atomic>

namespace caraway::metrics
{

/// A value that can increase and decrease, such as the number of waiting requests. Thread-safe.
class gauge
{
public:
    void set(double value)
    {
        value_.store(value, std::memory_order_relaxed);
    }
    void add(double amount)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }

    double value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0};
};

}  // namespace caraway::metrics
