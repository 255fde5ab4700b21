#include "caraway_load/calls/response_head.hpp"

#include <algorithm>

namespace caraway_load::calls
{

namespace
{

const QByteArray line_end("\r\n");
const QByteArray version("HTTP/1.1 ");
constexpr int status_digits = 3;
constexpr int first_status = 100;
constexpr int last_status = 599;
constexpr int status_switching_protocols = 101;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
/// Any number of so many digits fits.
constexpr qsizetype max_length_digits = 18;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_character(char c)
{
    static const QByteArray others("!#$%&'*+-.^_`|~");
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return is_letter || is_digit(c) || others.contains(c);
}

bool is_control(char c)
{
    constexpr unsigned char first_visible = 0x20;
    constexpr char del = 0x7f;
    return c != '\t' && (static_cast<unsigned char>(c) < first_visible || c == del);
}

bool is_number(const QByteArray& text)
{
    return !text.isEmpty() && text.size() <= max_length_digits &&
           std::all_of(text.begin(), text.end(), is_digit);
}

}  // namespace

bool is_field_line(const QByteArray& line)
{
    const qsizetype colon = line.indexOf(':');
    return colon > 0 && std::all_of(line.begin(), line.begin() + colon, is_token_character) &&
           std::none_of(line.begin() + colon, line.end(), is_control);
}

std::optional<response_head> response_head::parse(const QByteArray& lines)
{
    response_head head;
    qsizetype begin = 0;
    for (qsizetype end = lines.indexOf(line_end); end >= 0; end = lines.indexOf(line_end, begin))
    {
        const QByteArray line = lines.mid(begin, end - begin);
        if (!(begin == 0 ? head.read_status(line) : head.read_field(line)))
        {
            return std::nullopt;
        }
        begin = end + line_end.size();
    }
    return head.read_framing() ? std::optional(head) : std::nullopt;
}

int response_head::status() const
{
    return status_;
}

QByteArray response_head::field(const QByteArray& name) const
{
    const auto found = std::find_if(fields_.begin(), fields_.end(),
                                    [&](const auto& field) { return field.first == name; });
    return found == fields_.end() ? QByteArray() : found->second;
}

bool response_head::is_chunked() const
{
    return is_chunked_;
}

qint64 response_head::body_bytes() const
{
    return body_bytes_;
}

bool response_head::read_status(const QByteArray& line)
{
    const QByteArray code = line.mid(version.size(), status_digits);
    const QByteArray reason = line.mid(version.size() + status_digits);
    if (!line.startsWith(version) || code.size() != status_digits || !is_number(code) ||
        (!reason.isEmpty() && reason[0] != ' ') ||
        std::any_of(reason.begin(), reason.end(), is_control))
    {
        return false;
    }
    status_ = code.toInt();
    return status_ >= first_status && status_ <= last_status &&
           status_ != status_switching_protocols;
}

bool response_head::read_field(const QByteArray& line)
{
    if (!is_field_line(line))
    {
        return false;
    }
    const qsizetype colon = line.indexOf(':');
    fields_.emplace_back(line.left(colon).toLower(), line.mid(colon + 1).trimmed());
    return true;
}

bool response_head::read_framing()
{
    const QByteArray length_name("content-length");
    const QByteArray coding_name("transfer-encoding");
    const qsizetype lengths = count(length_name);
    const qsizetype codings = count(coding_name);
    const bool has_no_body = status_ == status_no_content || status_ == status_not_modified;
    is_chunked_ = codings == 1 && field(coding_name).toLower() == "chunked";
    if (codings > 0)
    {
        return is_chunked_ && lengths == 0 && !has_no_body;
    }
    if (lengths == 0)
    {
        // An answer that ends with the connection can't be told from one that was cut.
        return has_no_body;
    }
    const QByteArray length = field(length_name);
    body_bytes_ = has_no_body ? 0 : length.toLongLong();
    return lengths == 1 && is_number(length);
}

qsizetype response_head::count(const QByteArray& name) const
{
    return std::count_if(fields_.begin(), fields_.end(),
                         [&](const auto& field) { return field.first == name; });
}

}  // namespace caraway_load::calls
