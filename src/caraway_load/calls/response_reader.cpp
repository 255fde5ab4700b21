#include "caraway_load/calls/response_reader.hpp"

#include <algorithm>

namespace caraway_load::calls
{

namespace
{

const QByteArray line_end("\r\n");
const QByteArray head_end("\r\n\r\n");
constexpr int radix_hex = 16;
/// Any number of so many hexadecimal digits fits.
constexpr qsizetype max_size_digits = 15;

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/// The size in the first line of a chunk (RFC 9112, 7.1); empty if the line is malformed.
std::optional<qint64> chunk_size(const QByteArray& line)
{
    const auto end = std::find_if_not(line.begin(), line.end(), is_hex_digit);
    const auto digits = end - line.begin();
    const QByteArray rest = line.mid(digits).trimmed();
    const bool has_extension = rest.startsWith(';');
    if (digits == 0 || digits > max_size_digits || (digits < line.size() && !has_extension))
    {
        return std::nullopt;
    }
    return line.left(digits).toLongLong(nullptr, radix_hex);
}

}  // namespace

QByteArray response_reader::feed(const QByteArray& bytes)
{
    buffer_ += bytes;
    QByteArray body;
    while (step(body))
    {
    }
    return body;
}

void response_reader::restart()
{
    head_.reset();
    state_ = state::head;
    left_ = 0;
}

bool response_reader::has_begun() const
{
    return state_ != state::head || !buffer_.isEmpty();
}

bool response_reader::head_read() const
{
    return head_.has_value();
}

int response_reader::status() const
{
    return head_ ? head_->status() : 0;
}

QByteArray response_reader::header(const QByteArray& name) const
{
    return head_ ? head_->field(name) : QByteArray();
}

bool response_reader::ended() const
{
    return state_ == state::ended;
}

bool response_reader::malformed() const
{
    return state_ == state::malformed;
}

bool response_reader::closes() const
{
    return header("connection").toLower() == "close";
}

bool response_reader::surplus() const
{
    return ended() && !buffer_.isEmpty();
}

bool response_reader::step(QByteArray& body)
{
    switch (state_)
    {
    case state::head:
        return read_head();
    case state::counted_body:
        return read_counted(body, state::ended);
    case state::chunk_size:
        return read_chunk_size();
    case state::chunk_body:
        return read_counted(body, state::chunk_end);
    case state::chunk_end:
    {
        QByteArray empty;
        if (!take_line(empty))
        {
            return false;
        }
        state_ = empty.isEmpty() ? state::chunk_size : state::malformed;
        return true;
    }
    case state::trailer:
        return read_trailer();
    case state::ended:
    case state::malformed:
        return false;
    }
    return false;
}

bool response_reader::read_head()
{
    const qsizetype end = buffer_.indexOf(head_end);
    if (end < 0)
    {
        return false;
    }
    head_ = response_head::parse(buffer_.left(end + line_end.size()));
    buffer_.remove(0, end + head_end.size());
    if (!head_)
    {
        state_ = state::malformed;
        return true;
    }
    left_ = head_->body_bytes();
    state_ = head_->is_chunked() ? state::chunk_size
             : left_ == 0        ? state::ended
                                 : state::counted_body;
    return true;
}

bool response_reader::read_chunk_size()
{
    QByteArray line;
    if (!take_line(line))
    {
        return false;
    }
    const auto size = chunk_size(line);
    left_ = size.value_or(0);
    state_ = !size ? state::malformed : left_ == 0 ? state::trailer : state::chunk_body;
    return true;
}

bool response_reader::read_counted(QByteArray& body, state next)
{
    const qsizetype taken = std::min<qsizetype>(left_, buffer_.size());
    body += buffer_.left(taken);
    buffer_.remove(0, taken);
    left_ -= taken;
    if (left_ > 0)
    {
        return false;
    }
    state_ = next;
    return true;
}

bool response_reader::read_trailer()
{
    QByteArray line;
    if (!take_line(line))
    {
        return false;
    }
    state_ = line.isEmpty()        ? state::ended
             : is_field_line(line) ? state::trailer
                                   : state::malformed;
    return true;
}

bool response_reader::take_line(QByteArray& line)
{
    const qsizetype end = buffer_.indexOf(line_end);
    if (end < 0)
    {
        return false;
    }
    line = buffer_.left(end);
    buffer_.remove(0, end + line_end.size());
    return true;
}

}  // namespace caraway_load::calls
