// What a connection holds for its caller, and what happens where there is no room for it.
#include "libcaraway/http/server_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"

#include <algorithm>

namespace caraway::http
{

namespace
{

/// Memory of a connection, and of a request that is being answered with the beginning of its
/// answer.
constexpr std::size_t connection_bytes = 1024;
constexpr std::size_t active_request_bytes = 12288;
/// An answer is written on until the caller owes the reading of this much, or of the smaller
/// number where room is scarce.
constexpr std::size_t max_unread_bytes = 262144;
constexpr std::size_t min_unread_bytes = 4096;
/// How long a body may wait for room before the request is refused, and how often room is looked
/// for.
constexpr std::chrono::milliseconds max_room_wait{2000};
constexpr std::chrono::milliseconds room_check_period{50};
/// Where room is scarce, callers that send or read less than this, in bytes per second over such a
/// period, are closed.
constexpr std::size_t min_rate = 32768;
constexpr std::chrono::seconds slow_period{2};
/// With refusals for lack of room, in seconds.
constexpr std::string_view retry_after_refusal = "1";

}  // namespace

std::size_t server_connection::request_memory() const
{
    std::size_t bytes = connection_bytes + buffer_.capacity();
    if (current_)
    {
        bytes += active_request_bytes + current_->memory();
    }
    else
    {
        const auto expected = waits_for_room_ ? 0 : expected_body_;
        bytes += parser_->head().memory() + std::max(expected, parser_->body().capacity());
    }
    const bool is_full_in_kernel = limits_.memory != nullptr && is_reading_paused();
    return bytes + (is_full_in_kernel ? limits_.memory->limits().receive_buffer : 0);
}

bool server_connection::count_request()
{
    return request_hold_.try_set(request_memory());
}

void server_connection::recount()
{
    if (closed_)
    {
        return;
    }
    request_hold_.set(request_memory());
}

void server_connection::wait_for_room()
{
    ++limits_.memory->counts.waits;
    waits_for_room_ = true;
    timers_.cancel(deadline_);
    room_deadline_ = timers_.now() + max_room_wait;
    check_room();
}

void server_connection::check_room()
{
    if (closed_ || closing_)
    {
        return;
    }
    waits_for_room_ = false;
    if (count_request())
    {
        go_on_with_body();
        return;
    }
    if (timers_.now() >= room_deadline_)
    {
        refuse_for_lack_of_room();
        return;
    }
    waits_for_room_ = true;
    recount();
    // Nothing else owns the connection while it isn't read.
    timers_.after(room_check_period, [self = shared_from_this()] { self->check_room(); });
}

void server_connection::go_on_with_body()
{
    on_expected_body();
    if (parser_->is_done() && !parsing_)
    {
        on_request_complete();
    }
    parse();
    read();
}

void server_connection::refuse_for_lack_of_room()
{
    ++limits_.memory->counts.refused;
    reject(status::service_unavailable, retry_after_refusal);
}

void server_connection::begin_period()
{
    period_begin_ = timers_.now();
    moved_ = 0;
}

void server_connection::close_if_slow(bool of_any_size)
{
    const bool is_unread = !output_.empty();
    const bool is_withheld = !current_ && !closing_ && !waits_for_room_ && parser_->got_some();
    const auto elapsed = timers_.now() - period_begin_;
    if (closed_ || (!is_unread && !is_withheld) || elapsed < slow_period)
    {
        return;
    }
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    const bool is_slow = static_cast<double>(moved_) < static_cast<double>(min_rate) * seconds;
    begin_period();
    const auto largest = std::max(request_hold_.bytes(), answer_hold_.bytes());
    if (!is_slow || (largest <= memory_budget::small_bytes && !of_any_size))
    {
        return;
    }
    if (is_unread)
    {
        ++limits_.memory->counts.closed_unread;
        give_up_caller();
        return;
    }
    ++limits_.memory->counts.closed_withholding;
    reject(status::request_timeout);
}

bool server_connection::has_room_for_answer(std::size_t bytes)
{
    const bool fits =
        bytes <= memory_budget::small_bytes || answer_hold_.has_room(output_.memory() + bytes);
    if (!fits)
    {
        ++limits_.memory->counts.refused;
    }
    return fits;
}

bool server_connection::has_room_for_output() const
{
    if (closed_ || output_.bytes() < min_unread_bytes)
    {
        return true;
    }
    return output_.bytes() < max_unread_bytes &&
           answer_hold_.has_room(output_.memory() + max_read_bytes);
}

}  // namespace caraway::http
