#include "caraway_load/calls/response_reader.hpp"

#include <QList>

#include <algorithm>

namespace caraway_load::calls
{

namespace
{

const QByteArray line_end("\r\n");
const QByteArray head_end("\r\n\r\n");
constexpr int radix_hex = 16;
constexpr int status_no_content = 204;

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
    head_.clear();
    state_ = state::head;
    status_ = 0;
    left_ = 0;
}

bool response_reader::head_read() const
{
    return status_ != 0;
}

int response_reader::status() const
{
    return status_;
}

QByteArray response_reader::header(const QByteArray& name) const
{
    const QByteArray wanted = line_end + name + ':';
    const qsizetype at = head_.toLower().indexOf(wanted);
    if (at < 0)
    {
        return {};
    }
    const qsizetype begin = at + wanted.size();
    const qsizetype end = head_.indexOf(line_end, begin);
    return head_.mid(begin, end < 0 ? -1 : end - begin).trimmed();
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
    head_ = buffer_.left(end);
    buffer_.remove(0, end + head_end.size());
    const QList<QByteArray> words = head_.left(head_.indexOf(line_end)).split(' ');
    status_ = words.size() > 1 && words[0].startsWith("HTTP/1.1") ? words[1].toInt() : 0;
    const QByteArray length = header("content-length");
    // An answer that ends with the connection can't be told from one that was cut.
    state_ = state::malformed;
    if (status_ == 0)
    {
        return true;
    }
    if (header("transfer-encoding").toLower() == "chunked")
    {
        state_ = state::chunk_size;
    }
    else if (!length.isEmpty() || status_ == status_no_content)
    {
        left_ = length.toLongLong();
        state_ = left_ == 0 ? state::ended : state::counted_body;
    }
    return true;
}

bool response_reader::read_chunk_size()
{
    QByteArray line;
    if (!take_line(line))
    {
        return false;
    }
    bool is_number = false;
    left_ = line.split(';').first().trimmed().toLongLong(&is_number, radix_hex);
    state_ = !is_number ? state::malformed : left_ == 0 ? state::trailer : state::chunk_body;
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
    state_ = line.isEmpty() ? state::ended : state::trailer;
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
