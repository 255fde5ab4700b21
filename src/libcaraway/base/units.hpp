#pragma once

#include <compare>
#include <cstdint>

namespace caraway::base
{

/// Service rendered to a workspace, in the unit in which fairness is counted: generated tokens
/// plus weighted prompt tokens at a model engine, milliseconds of a slot at a plain service.
class cost
{
public:
    constexpr cost() = default;
    constexpr explicit cost(double value) : value_(value) {}

    constexpr double value() const
    {
        return value_;
    }

    constexpr cost& operator+=(cost other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr cost& operator-=(cost other)
    {
        value_ -= other.value_;
        return *this;
    }

    friend constexpr cost operator+(cost a, cost b)
    {
        return cost(a.value_ + b.value_);
    }
    friend constexpr cost operator-(cost a, cost b)
    {
        return cost(a.value_ - b.value_);
    }
    friend constexpr cost operator*(cost a, double factor)
    {
        return cost(a.value_ * factor);
    }
    friend constexpr auto operator<=>(cost, cost) = default;  // NOLINT(modernize-use-nullptr)

private:
    double value_ = 0;
};

/// A workspace's entitlement relative to the others'; 1 is ordinary, always above 0.
class share
{
public:
    constexpr share() = default;
    constexpr explicit share(double value) : value_(value) {}

    constexpr double value() const
    {
        return value_;
    }

    friend constexpr auto operator<=>(share, share) = default;  // NOLINT(modernize-use-nullptr)

private:
    double value_ = 1;
};

/// Service divided by share; equal for all backlogged workspaces when shares are kept.
class virtual_time
{
public:
    constexpr virtual_time() = default;
    constexpr explicit virtual_time(double value) : value_(value) {}
    constexpr virtual_time(cost service, share weight) : value_(service.value() / weight.value()) {}

    constexpr double value() const
    {
        return value_;
    }

    friend constexpr auto operator<=>(virtual_time,
                                      virtual_time) = default;  // NOLINT(modernize-use-nullptr)

private:
    double value_ = 0;
};

/// Requests that one upstream may hold at a time, or a number of such places.
using slots = std::uint32_t;

/// Version of the accepted configuration; 0 before the first is accepted, then only upwards.
enum class config_version : std::uint64_t
{
};

}  // namespace caraway::base
