#include "libcaraway/http/client_connection.hpp"

#include "libcaraway/http/read_scratch.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace caraway::http
{

namespace
{

/// Bytes that the parser may leave for later: the head of a chunk with what was read behind it.
constexpr std::size_t max_unparsed_bytes = 65536;

/// How often it is asked whether an answer may be read on.
constexpr std::chrono::milliseconds may_read_period{50};

}  // namespace

client_connection::client_connection(boost::asio::io_context& loop, timer_queue& timers,
                                     connect_options options)
    : socket_(loop), timers_(timers), options_(options)
{
}

void client_connection::call(const routing::endpoint& to, std::string request, bool head_only,
                             call_events events, answer_check belongs,
                             std::shared_ptr<const std::string> body)
{
    request_ = std::move(request);
    body_ = std::move(body);
    events_ = std::make_shared<call_events>(std::move(events));
    belongs_ = std::move(belongs);
    head_only_ = head_only;
    call_in_progress_ = true;
    skipped_answers_ = 0;
    write_progress_ = write_progress::not_started;
    stream_ended_ = false;
    start_parser();
    if (open_)
    {
        write();
        return;
    }
    connect(to);
}

void client_connection::close()
{
    if (closed_)
    {
        return;
    }
    closed_ = true;
    call_in_progress_ = false;
    events_.reset();
    timers_.cancel(connect_deadline_);
    boost::system::error_code ignored;
    socket_.close(ignored);
}

bool client_connection::is_reusable() const
{
    return open_ && !call_in_progress_ && !closed_;
}

void client_connection::connect(const routing::endpoint& to)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(to.ip, error);
    connect_deadline_ = timers_.after(options_.connect_timeout,
                                      [weak = weak_from_this()]
                                      {
                                          if (const auto self = weak.lock())
                                          {
                                              self->fail();
                                          }
                                      });
    if (error)
    {
        return;
    }
    socket_.async_connect(tcp::endpoint(ip, to.port),
                          [self = shared_from_this()](const boost::system::error_code& failed)
                          {
                              if (self->closed_)
                              {
                                  return;
                              }
                              self->timers_.cancel(self->connect_deadline_);
                              if (failed)
                              {
                                  self->refused_ = failed == boost::asio::error::connection_refused;
                                  self->fail();
                                  return;
                              }
                              self->open_ = true;
                              self->set_socket_options();
                              if (self->events_->opened && !self->events_->opened())
                              {
                                  self->fail(call_failure::withheld);
                                  return;
                              }
                              self->write();
                              self->read();
                          });
}

void client_connection::set_socket_options()
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket_.set_option(user_timeout(static_cast<int>(options_.unacknowledged_timeout.count())),
                       ignored);
}

void client_connection::write()
{
    write_progress_ = write_progress::in_progress;
    const std::array<boost::asio::const_buffer, 2> message{boost::asio::buffer(request_),
                                                           body_ ? boost::asio::buffer(*body_)
                                                                 : boost::asio::const_buffer()};
    boost::asio::async_write(socket_, message,
                             [self = shared_from_this()](const auto& error, std::size_t)
                             {
                                 self->write_progress_ =
                                     error ? write_progress::failed : write_progress::completed;
                                 self->on_write_over();
                             });
}

void client_connection::on_write_over()
{
    // Whatever ended the write ends the read too, after any answer that the server sent before it
    // had received the whole request.
    if (stream_ended_ && call_in_progress_)
    {
        end_with_stream();
    }
}

void client_connection::read()
{
    if (read_pending_ || closed_)
    {
        return;
    }
    read_pending_ = true;
    auto pause = std::exchange(pause_, {});
    if (!may_read())
    {
        pause = std::max<base::duration>(pause, may_read_period);
    }
    if (pause > base::duration::zero())
    {
        read_after(pause);
        return;
    }
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error)
                       {
                           self->read_pending_ = false;
                           if (!self->closed_)
                           {
                               self->on_readable(error);
                           }
                       });
}

void client_connection::read_after(base::duration pause)
{
    timers_.after(pause,
                  [self = shared_from_this()]
                  {
                      self->read_pending_ = false;
                      if (self->closed_)
                      {
                          return;
                      }
                      if (!self->may_read())
                      {
                          self->read();
                          return;
                      }
                      self->on_readable({});
                  });
}

bool client_connection::may_read() const
{
    return !call_in_progress_ || !events_->may_read || events_->may_read();
}

void client_connection::on_readable(const boost::system::error_code& error)
{
    boost::system::error_code failed = error;
    std::size_t bytes = 0;
    if (!failed)
    {
        // An answer that may have to wait for room is read in small parts.
        const auto most =
            call_in_progress_ && events_->may_read ? max_read_bytes : read_scratch_size;
        bytes = socket_.read_some(boost::asio::buffer(read_scratch().data(), most), failed);
    }
    if (failed && failed != boost::asio::error::would_block)
    {
        on_end_of_stream(failed);
        return;
    }
    if (bytes > 0 && !call_in_progress_)
    {
        close();
        return;
    }
    buffer_.append(read_scratch().data(), bytes);
    parse();
    buffer_.erase(0, parsed_);
    parsed_ = 0;
    if (call_in_progress_ && buffer_.size() > max_unparsed_bytes)
    {
        fail();
        return;
    }
    if (buffer_.empty())
    {
        std::string().swap(buffer_);
    }
    read();
}

void client_connection::fail()
{
    const bool head = head_seen_ && !skipping_;
    fail(head                                             ? call_failure::truncated_answer
         : write_progress_ != write_progress::not_started ? call_failure::no_answer
                                                          : call_failure::not_connected);
}

void client_connection::fail(call_failure failure)
{
    const auto events = events_;
    close();
    if (events && events->failed)
    {
        events->failed(failure);
    }
}

}  // namespace caraway::http
