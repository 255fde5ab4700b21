#include "libcaraway/http/server_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"
#include "libcaraway/http/request_checks.hpp"

#include <boost/asio/post.hpp>

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
/// Added to the announced keep-alive time, so that requests sent just before its end still arrive.
constexpr std::chrono::milliseconds keep_alive_margin{500};

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
    opened_ = timers_.now();
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
    if (is_same_name(parser_->head()[field::expect], "100-continue"))
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
