#include "libcaraway/http/server_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"
#include "libcaraway/http/request_checks.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <utility>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

/// Bytes of pipelined requests read while a request is answered. Reading continues then only to
/// detect that the caller closes the connection.
constexpr std::size_t max_read_ahead_bytes = max_read_bytes;
/// Bytes that the parser may leave for later beside a head: the line before a chunk, or the fields
/// behind the last one.
constexpr std::size_t max_unparsed_bytes = 65536;
/// Steps of the parser (a head, a chunk, a part of a body) before other connections have their
/// turn.
constexpr std::size_t max_steps_per_turn = 512;
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
/// Added to the announced keep-alive time, so that requests sent just before its end still arrive.
constexpr std::chrono::milliseconds keep_alive_margin{500};
/// How long a connection stays open after its last answer for bytes in flight. Closing immediately
/// could reset the connection and destroy the answer before the caller has read it.
constexpr std::chrono::milliseconds drain_time{1000};

}  // namespace

server_connection::server_connection(socket_type socket, timer_queue& timers, limits_source limits,
                                     handler on_request, std::shared_ptr<std::size_t> open,
                                     const door* entry)
    : socket_(std::move(socket)), timers_(timers), limits_source_(std::move(limits)),
      on_request_(std::move(on_request)), open_(std::move(open)), door_(entry)
{
    ++*open_;
}

server_connection::~server_connection()
{
    if (!closed_)
    {
        --*open_;
    }
}

void server_connection::start(std::string_view first_bytes)
{
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    limits_ = limits_source_();
    request_hold_ = memory_hold(limits_.memory, held_for::request);
    answer_hold_ = memory_hold(limits_.memory, held_for::answer);
    begin_request();
    if (!first_bytes.empty())
    {
        door_ = nullptr;
        buffer_.append(first_bytes);
        parse();
    }
    read();
}

void server_connection::refuse(std::string_view whole_answer)
{
    keep_alive_ = false;
    std::string().swap(buffer_);
    parsed_ = 0;
    send(whole_answer);
    on_answer_ended(false);
}

bool server_connection::refuse_at_door()
{
    const auto* entry = std::exchange(door_, nullptr);
    if (entry == nullptr || !entry->is_narrow || !entry->is_narrow())
    {
        return false;
    }
    const auto answer = entry->refusal(buffer_);
    if (answer)
    {
        refuse(*answer);
    }
    return answer.has_value();
}

bool server_connection::close_if_idle()
{
    const bool idle =
        !closed_ && !current_ && buffer_.empty() && !parser_->got_some() && output_.empty();
    if (idle)
    {
        close();
    }
    return idle;
}

void server_connection::begin_request()
{
    limits_ = limits_source_();
    parser_.emplace(limits_.keeps_body);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser_->body_limit(limits_.body_bytes);
    parser_->eager(false);
    head_seen_ = false;
    const bool first = !answered_;
    set_deadline(first ? limits_.idle_timeout
                       : std::min<std::chrono::milliseconds>(
                             limits_.idle_timeout, limits_.keep_alive + keep_alive_margin));
    recount();
}

bool server_connection::is_reading_paused() const
{
    const bool reads_ahead = current_ != nullptr || answer_owed_;
    const auto most =
        reads_ahead ? max_read_ahead_bytes : max_unparsed_bytes + limits_.header_bytes;
    return parse_scheduled_ || waits_for_room_ || buffer_.size() >= most;
}

void server_connection::read()
{
    if (read_pending_ || closed_ || is_reading_paused())
    {
        return;
    }
    read_pending_ = true;
    socket_.async_wait(socket_type::wait_read, [self = shared_from_this()](const auto& error)
                       { self->on_readable(error); });
}

void server_connection::on_readable(const boost::system::error_code& error)
{
    read_pending_ = false;
    if (closed_)
    {
        return;
    }
    boost::system::error_code failed = error;
    std::size_t bytes = 0;
    if (!failed)
    {
        bytes =
            socket_.read_some(boost::asio::buffer(read_scratch().data(), max_read_bytes), failed);
    }
    if (failed && failed != boost::asio::error::would_block)
    {
        on_peer_closed();
        return;
    }
    moved_ += bytes;
    if (!closing_)
    {
        buffer_.append(read_scratch().data(), bytes);
    }
    if (current_ || answer_owed_)
    {
        recount();
    }
    else if (!closing_ && !refuse_at_door())
    {
        parse();
    }
    read();
}

bool server_connection::may_parse() const
{
    return !current_ && output_.empty() && !answer_owed_ && !waits_for_room_ && !closing_ &&
           !closed_;
}

void server_connection::parse()
{
    if (parsing_ || closed_)
    {
        return;
    }
    parsing_ = true;
    parse_buffer();
    parsing_ = false;
    buffer_.erase(0, parsed_);
    parsed_ = 0;
    if (buffer_.empty())
    {
        // Frees the capacity, so that idle connections hold no buffer memory.
        std::string().swap(buffer_);
    }
    if (closed_)
    {
        return;
    }
    if (!may_parse())
    {
        recount();
    }
    else if (!count_request())
    {
        refuse_for_lack_of_room();
    }
}

void server_connection::parse_later()
{
    parse_scheduled_ = true;
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()]
                      {
                          self->parse_scheduled_ = false;
                          if (!self->closed_)
                          {
                              self->parse();
                              self->read();
                          }
                      });
}

void server_connection::parse_buffer()
{
    std::size_t steps = 0;
    while (parsed_ < buffer_.size() && may_parse())
    {
        ++steps;
        if (steps > max_steps_per_turn)
        {
            parse_later();
            return;
        }
        if (!parser_->got_some())
        {
            first_byte_time_ = timers_.now();
            begin_period();
            set_deadline(limits_.header_timeout);
        }
        boost::system::error_code error;
        const auto bytes = parser_->put(boost::asio::buffer(buffer_) + parsed_, error);
        parsed_ += bytes;
        if (error == beast_http::error::need_more)
        {
            const bool is_stuck = buffer_.size() >= max_unparsed_bytes + limits_.header_bytes;
            if (bytes == 0 && is_stuck)
            {
                reject(status::bad_request);
            }
            if (bytes == 0)
            {
                return;
            }
            continue;
        }
        if (error)
        {
            reject(rejection_status(error));
            return;
        }
        if (parser_->is_header_done() && !head_seen_)
        {
            on_head();
        }
        if (may_parse() && parser_->is_done())
        {
            on_request_complete();
        }
    }
}

void server_connection::on_head()
{
    head_seen_ = true;
    const auto& head = parser_->head();
    if (!has_unambiguous_framing(head) || !has_one_host(head))
    {
        reject(status::bad_request);
        return;
    }
    const auto length = parser_->content_length();
    expected_body_ =
        limits_.keeps_body && length ? static_cast<std::size_t>(*length) : std::size_t{0};
    if (!count_request())
    {
        wait_for_room();
        return;
    }
    on_expected_body();
}

void server_connection::on_expected_body()
{
    const auto expectation = parser_->head()[field::expect];
    if (boost::beast::iequals({expectation.data(), expectation.size()}, "100-continue"))
    {
        send(std::string_view("HTTP/1.1 100 Continue\r\n\r\n"));
        flush();
    }
    if (!parser_->is_done())
    {
        set_deadline(limits_.idle_timeout);
    }
}

void server_connection::on_request_complete()
{
    timers_.cancel(deadline_);
    keep_alive_ = parser_->keep_alive();
    auto body = std::make_shared<const std::string>(std::move(parser_->body()));
    auto request = std::make_shared<exchange>(shared_from_this(), std::move(parser_->head()),
                                              std::move(body), first_byte_time_);
    expected_body_ = 0;
    current_ = request;
    if (!count_request())
    {
        current_.reset();
        request->ended_ = true;
        refuse_for_lack_of_room();
        return;
    }
    on_request_(request);
}

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

void server_connection::reject(status code, std::string_view retry_after)
{
    keep_alive_ = false;
    expected_body_ = 0;
    std::string().swap(parser_->body());
    auto head = make_response(code);
    head.set(field::content_length, "0");
    if (!retry_after.empty())
    {
        head.set(field::retry_after, {retry_after.data(), retry_after.size()});
    }
    send_head(head);
    on_answer_ended(false);
}

void server_connection::set_deadline(std::chrono::milliseconds delay)
{
    timers_.cancel(deadline_);
    deadline_ = timers_.after(delay,
                              [weak = weak_from_this()]
                              {
                                  if (const auto self = weak.lock())
                                  {
                                      self->on_deadline();
                                  }
                              });
}

void server_connection::on_deadline()
{
    deadline_ = {};
    if (!output_.empty())
    {
        const auto unread_since = timers_.now() - last_taken_;
        if (unread_since < limits_.idle_timeout)
        {
            set_deadline(std::chrono::duration_cast<std::chrono::milliseconds>(
                limits_.idle_timeout - unread_since + std::chrono::milliseconds(1)));
            return;
        }
        if (limits_.memory != nullptr)
        {
            ++limits_.memory->counts.closed_unread;
        }
        give_up_caller();
        return;
    }
    if (closing_ || !parser_->got_some())
    {
        close();
        return;
    }
    reject(status::request_timeout);
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

void server_connection::give_up_caller()
{
    // An orderly close would look like the end of an answer without a length; a reset does not.
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    on_peer_closed();
}

void server_connection::on_peer_closed()
{
    const auto request = current_;
    close();
    if (request && !request->ended_)
    {
        request->ended_ = true;
        if (const auto callback = std::move(request->disconnect_callback_))
        {
            callback();
        }
    }
}

void server_connection::send_head(response_head& head)
{
    limits_ = limits_source_();
    if (limits_.closing)
    {
        keep_alive_ = false;
    }
    if (keep_alive_)
    {
        const auto limit = std::chrono::duration_cast<std::chrono::seconds>(limits_.idle_timeout);
        const auto seconds = std::min(limit, limits_.keep_alive).count();
        head.set(field::keep_alive, "timeout=" + std::to_string(seconds));
    }
    else
    {
        head.set(field::connection, "close");
    }
    beast_http::response<beast_http::empty_body> message{std::move(head)};
    beast_http::response_serializer<beast_http::empty_body> serializer{message};
    serializer.split(true);
    boost::system::error_code error;
    serializer.next(error, [this](const auto&, const auto& buffers)
                    { send(boost::beast::buffers_to_string(buffers)); });
}

void server_connection::before_sending()
{
    if (output_.empty())
    {
        last_taken_ = timers_.now();
        begin_period();
    }
}

void server_connection::send(std::string_view bytes)
{
    if (!closed_)
    {
        before_sending();
        output_.append(bytes);
    }
}

void server_connection::send(std::string&& bytes)
{
    if (!closed_)
    {
        before_sending();
        output_.append(std::move(bytes));
    }
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

void server_connection::flush()
{
    if (!write_pending_ && !closed_)
    {
        write_output();
    }
    answer_hold_.set(output_.memory());
}

void server_connection::write_output()
{
    boost::system::error_code error;
    while (!output_.empty() && !error)
    {
        const auto buffers = output_.first();
        const auto offered = boost::asio::buffer_size(buffers);
        const auto bytes = socket_.write_some(buffers, error);
        output_.consume(bytes);
        moved_ += bytes;
        if (bytes > 0)
        {
            last_taken_ = timers_.now();
        }
        if (bytes < offered)
        {
            break;
        }
    }
    write_failed_ = error && error != boost::asio::error::would_block;
    answer_hold_.set(output_.memory());
    if (!output_.empty())
    {
        wait_until_writable();
    }
}

void server_connection::wait_until_writable()
{
    write_pending_ = true;
    if (deadline_ == timer_queue::handle{})
    {
        set_deadline(limits_.idle_timeout);
    }
    // Also where writing failed: the error is handled here, when no owner of a request is at work.
    socket_.async_wait(socket_type::wait_write,
                       [self = shared_from_this()](const boost::system::error_code& error)
                       {
                           self->write_pending_ = false;
                           if (self->closed_)
                           {
                               return;
                           }
                           if (error || self->write_failed_)
                           {
                               self->on_peer_closed();
                               return;
                           }
                           self->write_output();
                           if (self->output_.empty())
                           {
                               self->on_output_taken();
                           }
                       });
}

void server_connection::on_answer_ended(bool keep)
{
    current_.reset();
    answered_ = true;
    if (closed_)
    {
        return;
    }
    closing_ = closing_ || !keep || !keep_alive_;
    answer_owed_ = true;
    timers_.cancel(deadline_);
    if (closing_)
    {
        std::string().swap(buffer_);
        parsed_ = 0;
    }
    flush();
    if (output_.empty())
    {
        on_output_taken();
        return;
    }
    set_deadline(limits_.idle_timeout);
    recount();
    read();
}

void server_connection::on_output_taken()
{
    if (current_)
    {
        timers_.cancel(deadline_);
        return;
    }
    const bool was_owed = std::exchange(answer_owed_, false);
    if (closing_)
    {
        finish_closing();
        return;
    }
    if (was_owed)
    {
        begin_request();
    }
    parse();
    read();
}

void server_connection::finish_closing()
{
    boost::system::error_code ignored;
    socket_.shutdown(socket_type::shutdown_send, ignored);
    set_deadline(drain_time);
    recount();
    read();
}

void server_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    --*open_;
    timers_.cancel(deadline_);
    current_.reset();
    output_.clear();
    request_hold_.set(0);
    answer_hold_.set(0);
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace caraway::http
