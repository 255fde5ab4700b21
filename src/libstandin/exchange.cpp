#include "libstandin/exchange.hpp"

#include <QTimer>

namespace standin
{

namespace
{

const char* reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 307:
        return "Temporary Redirect";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

}  // namespace

exchange::exchange(std::shared_ptr<connection> link, http_request request)
    : link_(std::move(link)), request_(std::move(request))
{
}

const http_request& exchange::request() const
{
    return request_;
}

bool exchange::open() const
{
    return !over_ && link_->open();
}

bool exchange::is_on(const connection& link) const
{
    return &link == link_.get();
}

void exchange::respond(const answer& whole)
{
    write(head(whole, false));
    if (request_.method != "HEAD")
    {
        write(whole.body);
    }
    finish(request_.wants_close() ? ending::close : ending::keep_alive);
}

void exchange::respond_cut(const answer& whole)
{
    write(head(whole, false));
    write(whole.body.left(whole.body.size() / 2));
    finish(ending::close);
}

void exchange::begin_stream(int status, const QByteArray& content_type)
{
    write(head({.status = status, .content_type = content_type}, true));
}

void exchange::write_chunk(const QByteArray& data)
{
    if (!data.isEmpty())
    {
        write(QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n");
    }
}

void exchange::end_stream()
{
    write("0\r\n\r\n");
    finish(request_.wants_close() ? ending::close : ending::keep_alive);
}

void exchange::close()
{
    finish(ending::close);
}

void exchange::reset()
{
    finish(ending::reset);
}

void exchange::hold(std::chrono::milliseconds time)
{
    if (!open() || time <= std::chrono::milliseconds::zero())
    {
        return;
    }
    held_ = true;
    QTimer::singleShot(time, link_->socket(),
                       [this, link = link_]
                       {
                           // The connection keeps the exchange until it is finished or abandoned.
                           if (link->open())
                           {
                               release();
                           }
                       });
}

void exchange::set_on_abandoned(std::function<void()> call)
{
    on_abandoned_ = std::move(call);
}

void exchange::abandon()
{
    const bool was_over = std::exchange(over_, true);
    const auto call = std::exchange(on_abandoned_, nullptr);
    if (call && !was_over)
    {
        call();
    }
}

QByteArray exchange::head(const answer& whole, bool chunked) const
{
    QByteArray bytes = "HTTP/1.1 " + QByteArray::number(whole.status) + ' ' +
                       reason_phrase(whole.status) + "\r\nContent-Type: " + whole.content_type +
                       "\r\n";
    for (const auto& [name, value] : whole.headers)
    {
        bytes += name + ": " + value + "\r\n";
    }
    bytes += chunked ? QByteArray("Transfer-Encoding: chunked\r\n")
                     : "Content-Length: " + QByteArray::number(whole.body.size()) + "\r\n";
    if (request_.wants_close())
    {
        bytes += "Connection: close\r\n";
    }
    return bytes + "\r\n";
}

void exchange::write(const QByteArray& bytes)
{
    if (over_)
    {
        return;
    }
    if (held_)
    {
        held_bytes_ += bytes;
        return;
    }
    link_->write(bytes);
}

void exchange::finish(ending how)
{
    if (std::exchange(over_, true))
    {
        return;
    }
    on_abandoned_ = nullptr;
    if (held_)
    {
        held_ending_ = how;
        return;
    }
    link_->finish(how);
}

void exchange::release()
{
    held_ = false;
    link_->write(std::exchange(held_bytes_, {}));
    if (held_ending_)
    {
        link_->finish(*held_ending_);
    }
}

}  // namespace standin
