#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace caraway::http
{

/// What a process may hold for its callers, in bytes.
struct memory_limits
{
    /// Of all that is counted.
    std::size_t total = 0;
    /// Of what requests, and of what answers, hold beyond `small_bytes` each. Together below the
    /// total, so that small requests find room beside large ones.
    std::size_t large_requests = 0;
    std::size_t large_answers = 0;
    /// Of the kernel for what one connection has received and the process hasn't read. Not counted.
    std::size_t receive_buffer = 0;
};

/// Divides the memory of a machine, in bytes, between what the process needs for itself, what the
/// kernel may hold for this many connections, and what is held for callers.
memory_limits divide_memory(std::size_t memory, std::size_t connections);

enum class held_for
{
    request,
    answer,
};

/// How often a limit was met since the process started.
struct memory_counts
{
    /// Requests refused, none of which has run or will.
    std::uint64_t refused = 0;
    /// Times that a body or an answer wasn't read on for lack of room.
    std::uint64_t waits = 0;
    /// Connections closed whose callers withheld a request, and that didn't read an answer.
    std::uint64_t closed_withholding = 0;
    std::uint64_t closed_unread = 0;
    /// Idle connections closed.
    std::uint64_t closed_idle = 0;

    friend bool operator==(const memory_counts&, const memory_counts&) = default;
};

class memory_hold;

/// Counts what a process holds for its callers, over all listeners, connections and kinds of bytes.
/// Not thread-safe.
class memory_budget
{
public:
    /// What a request, or an answer, may hold as long as there is room in the total: as much as
    /// ordinary ones need.
    static constexpr std::size_t small_bytes = 16384;

    explicit memory_budget(const memory_limits& limits) : limits_(limits) {}

    const memory_limits& limits() const
    {
        return limits_;
    }
    std::size_t held() const
    {
        return held_;
    }
    std::size_t held_by_large(held_for kind) const
    {
        return large_[index(kind)];
    }
    /// Whether so little is left that requests and answers of any size may find no room.
    bool is_nearly_full() const
    {
        return held_ + limits_.total / 16 > limits_.total;
    }
    /// Whether something found no room since the last call.
    bool take_shortage()
    {
        const bool was_short = short_;
        short_ = false;
        return was_short;
    }
    memory_counts counts;

private:
    friend class memory_hold;

    static std::size_t index(held_for kind)
    {
        return static_cast<std::size_t>(kind);
    }
    std::size_t large_limit(held_for kind) const
    {
        return kind == held_for::request ? limits_.large_requests : limits_.large_answers;
    }
    bool has_room(const memory_hold& hold, std::size_t bytes) const;

    memory_limits limits_;
    std::size_t held_ = 0;
    std::array<std::size_t, 2> large_{};
    /// The answer that may pass the limit of large answers: of several that wait for each other,
    /// one goes on.
    const memory_hold* first_answer_ = nullptr;
    bool short_ = false;
};

/// What one request or one answer holds; gives it back when destroyed. Without a budget nothing is
/// counted and everything has room.
class memory_hold
{
public:
    memory_hold() = default;
    memory_hold(std::shared_ptr<memory_budget> budget, held_for kind)
        : budget_(std::move(budget)), kind_(kind)
    {
    }
    memory_hold(memory_hold&& other) noexcept;
    memory_hold& operator=(memory_hold&& other) noexcept;
    memory_hold(const memory_hold&) = delete;
    memory_hold& operator=(const memory_hold&) = delete;
    ~memory_hold();

    std::size_t bytes() const
    {
        return bytes_;
    }
    /// Whether it may grow to this size.
    bool has_room(std::size_t bytes) const;
    /// Changes the size if there is room for it, as there always is for a smaller one. Returns
    /// whether it did.
    bool try_set(std::size_t bytes);
    /// Changes the size of what is held already.
    void set(std::size_t bytes);
    /// Takes over what the other one holds.
    void absorb(memory_hold& other);

private:
    friend class memory_budget;

    static std::size_t large_part(std::size_t bytes)
    {
        return bytes > memory_budget::small_bytes ? bytes - memory_budget::small_bytes : 0;
    }

    /// Shared, as handlers of the event loop may outlive the owner of the budget.
    std::shared_ptr<memory_budget> budget_;
    held_for kind_ = held_for::request;
    std::size_t bytes_ = 0;
};

}  // namespace caraway::http
