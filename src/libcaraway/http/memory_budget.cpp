#include "libcaraway/http/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace caraway::http
{

namespace
{

// Parts of a machine's memory, in hundredths. What is left is for the process itself and for what
// its allocator can't give back.
constexpr std::size_t whole = 100;
constexpr std::size_t held_for_callers = 45;
constexpr std::size_t received_and_unread = 20;
/// Part of what is held for callers that large requests, and large answers, may take.
constexpr std::size_t large_part_of_held = 40;

/// Bytes of a receive buffer: less stalls connections, more only helps over long distances.
constexpr std::size_t min_receive_buffer = 4096;
constexpr std::size_t max_receive_buffer = 65536;

}  // namespace

memory_limits divide_memory(std::size_t memory, std::size_t connections)
{
    const auto total = memory / whole * held_for_callers;
    const auto large = total / whole * large_part_of_held;
    const auto buffer =
        memory / whole * received_and_unread / std::max<std::size_t>(1, connections);
    return {.total = total,
            .large_requests = large,
            .large_answers = large,
            .receive_buffer = std::clamp(buffer, min_receive_buffer, max_receive_buffer)};
}

bool memory_budget::has_room(const memory_hold& hold, std::size_t bytes) const
{
    if (held_ - hold.bytes_ + bytes > limits_.total)
    {
        return false;
    }
    const auto own = memory_hold::large_part(hold.bytes_);
    const auto wanted = memory_hold::large_part(bytes);
    const auto others = large_[index(hold.kind_)] - own;
    // One alone always has room, so that whatever is within the callers' limits is served in calm.
    return wanted <= own || others == 0 || others + wanted <= large_limit(hold.kind_);
}

memory_hold::memory_hold(memory_hold&& other) noexcept
{
    *this = std::move(other);
}

memory_hold& memory_hold::operator=(memory_hold&& other) noexcept
{
    if (this == &other)
    {
        return *this;
    }
    set(0);
    budget_ = other.budget_;
    kind_ = other.kind_;
    absorb(other);
    return *this;
}

memory_hold::~memory_hold()
{
    set(0);
    if (budget_ != nullptr && budget_->first_answer_ == this)
    {
        budget_->first_answer_ = nullptr;
    }
}

bool memory_hold::has_room(std::size_t bytes) const
{
    if (budget_ == nullptr || bytes <= bytes_ || budget_->first_answer_ == this)
    {
        return true;
    }
    const bool fits = budget_->has_room(*this, bytes);
    budget_->short_ = budget_->short_ || !fits;
    return fits;
}

bool memory_hold::try_set(std::size_t bytes)
{
    if (!has_room(bytes))
    {
        if (kind_ != held_for::answer || budget_->first_answer_ != nullptr)
        {
            return false;
        }
        budget_->first_answer_ = this;
    }
    set(bytes);
    return true;
}

void memory_hold::set(std::size_t bytes)
{
    if (budget_ == nullptr)
    {
        return;
    }
    budget_->held_ = budget_->held_ - bytes_ + bytes;
    auto& large = budget_->large_[memory_budget::index(kind_)];
    large = large - large_part(bytes_) + large_part(bytes);
    bytes_ = bytes;
    if (bytes == 0 && budget_->first_answer_ == this)
    {
        budget_->first_answer_ = nullptr;
    }
}

void memory_hold::absorb(memory_hold& other)
{
    const auto bytes = other.bytes_;
    const bool was_first = budget_ != nullptr && budget_->first_answer_ == &other;
    other.set(0);
    set(bytes_ + bytes);
    if (was_first)
    {
        budget_->first_answer_ = this;
    }
}

}  // namespace caraway::http
