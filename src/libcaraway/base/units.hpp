#pragma once

#include <compare>
#include <cstdint>

namespace caraway::base
{

/// Amount of service rendered to a workspace, in the unit by which capacity is shared: generated
/// tokens plus weighted prompt tokens for a model engine, slot time in milliseconds for a plain
/// service.
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

/// A workspace's weight in relation to other workspaces. The default is 1; always greater than 0.
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

/// Service rendered, divided by the workspace's share. With fair scheduling, all backlogged
/// workspaces have the same virtual time.
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

/// Number of concurrent requests at an upstream: its capacity, or a part of its capacity.
using slots = std::uint32_t;

/// Version of the accepted configuration; 0 until the first one is accepted, then strictly
/// increasing.
enum class config_version : std::uint64_t
{
};

}  // namespace caraway::base
