#include "libcaraway/net/request_framing.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace caraway::net
{

namespace
{

/// Longer methods are no request but something else that speaks to this port.
constexpr std::size_t max_method_length = 32;
constexpr std::size_t version_length = 8;
/// Enough for any size that can be accepted, and far from an overflow.
constexpr std::size_t max_length_digits = 18;

}  // namespace

request_framing::request_framing(framing_limits limits) : limits_(limits), chunks_(limits) {}

std::size_t request_framing::feed(std::string_view bytes, std::string& passed)
{
    std::size_t taken = 0;
    while (taken < bytes.size())
    {
        const std::string_view rest = bytes.substr(taken);
        switch (stage_)
        {
        case stage::idle:
        case stage::header:
            taken += feed_header(rest, passed);
            break;
        case stage::body:
            taken += chunked_ ? feed_chunked(rest, passed) : feed_sized(rest, passed);
            break;
        case stage::complete:
        case stage::failed:
            return taken;
        }
    }
    return taken;
}

void request_framing::reset()
{
    *this = request_framing(limits_);
}

std::size_t request_framing::feed_header(std::string_view bytes, std::string& passed)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && (stage_ == stage::idle || stage_ == stage::header))
    {
        take_header_byte(bytes[taken], passed);
        ++taken;
    }
    return taken;
}

void request_framing::take_header_byte(char byte, std::string& passed)
{
    stage_ = stage::header;
    if (++header_size_ > limits_.header_bytes)
    {
        fail(header_too_large(limits_.header_bytes));
        return;
    }
    const bool after_return = !line_.empty() && line_.back() == '\r';
    if (byte == '\n')
    {
        if (!after_return)
        {
            fail(bad_request("A line of the header ends without a carriage return."));
            return;
        }
        line_.pop_back();
        finish_line(passed);
        line_.clear();
        return;
    }
    if (after_return || (byte != '\r' && is_control(byte)))
    {
        fail(bad_request("The header contains a control character."));
        return;
    }
    line_.push_back(byte);
}

void request_framing::finish_line(std::string& passed)
{
    if (!has_request_line_)
    {
        // Some clients send an empty line after a body; HTTP asks servers to overlook it.
        if (line_.empty())
        {
            stage_ = stage::idle;
            return;
        }
        parse_request_line(line_);
        return;
    }
    if (line_.empty())
    {
        finish_header(passed);
        return;
    }
    parse_field(line_);
}

void request_framing::parse_request_line(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
    {
        fail(bad_request("The request line isn't method, target and version."));
        return;
    }
    const std::string_view method = line.substr(0, first);
    const std::string_view target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    if (!is_token(method) || method.size() > max_method_length)
    {
        fail(bad_request("The request's method is no method."));
        return;
    }
    if (version.size() != version_length || version.substr(0, 5) != "HTTP/" ||
        !is_digits(version.substr(5, 1)) || version[6] != '.' || !is_digits(version.substr(7, 1)))
    {
        fail(bad_request("The request line doesn't end with a version of HTTP."));
        return;
    }
    if (version != "HTTP/1.1" && version != "HTTP/1.0")
    {
        fail({.status = 505,
              .code = "version_not_supported",
              .message = "Only versions 1.1 and 1.0 of HTTP are spoken here."});
        return;
    }
    method_ = method;
    http_1_0_ = version == "HTTP/1.0";
    if (!parse_target(target))
    {
        return;
    }
    has_request_line_ = true;
    header_.assign(line).append("\r\n");
}

bool request_framing::parse_target(std::string_view target)
{
    if (method_ == "CONNECT")
    {
        fail(
            {.status = 501, .code = "not_implemented", .message = "Tunnels are not offered here."});
        return false;
    }
    constexpr std::string_view scheme = "http://";
    if (equal_ignoring_case(target.substr(0, scheme.size()), scheme))
    {
        const auto path = target.find_first_of("/?", scheme.size());
        target = path == std::string_view::npos ? "/" : target.substr(path);
    }
    const bool is_asterisk = target == "*" && method_ == "OPTIONS";
    const bool is_visible = std::all_of(target.begin(), target.end(), is_visible_ascii);
    if (!is_visible || (target.substr(0, 1) != "/" && target.substr(0, 1) != "?" && !is_asterisk))
    {
        fail(bad_request("The request's target is neither a path nor an http URL."));
        return false;
    }
    target_ = target.front() == '?' ? "/" + std::string(target) : std::string(target);
    return true;
}

void request_framing::parse_field(std::string_view line)
{
    if (line.front() == ' ' || line.front() == '\t')
    {
        fail(bad_request("A header field is folded over several lines."));
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        fail(bad_request("A header field has no proper name before its colon."));
        return;
    }
    const std::string name = lower_case(line.substr(0, colon));
    note_field(name, trimmed(line.substr(colon + 1)));
    // An offer to change the protocol may be ignored. Qt's parser would take one for a WebSocket,
    // and drop the connection without an answer.
    if (name != "upgrade")
    {
        header_.append(line).append("\r\n");
    }
}

void request_framing::note_field(const std::string& name, std::string_view value)
{
    if (name == "content-length")
    {
        note_content_length(value);
    }
    else if (name == "transfer-encoding")
    {
        if (chunked_ || !equal_ignoring_case(value, "chunked"))
        {
            fail({.status = 501,
                  .code = "not_implemented",
                  .message = "The only transfer coding taken here is chunked, once."});
            return;
        }
        chunked_ = true;
    }
    else if (name == "host")
    {
        if (has_host_)
        {
            fail(bad_request("The header names more than one host."));
            return;
        }
        has_host_ = true;
    }
    else if (name == "expect")
    {
        if (!equal_ignoring_case(value, "100-continue"))
        {
            fail({.status = 417,
                  .code = "expectation_failed",
                  .message = "The only expectation met here is 100-continue."});
            return;
        }
        expects_continue_ = true;
    }
    else if (name == "connection")
    {
        note_connection(value);
    }
}

void request_framing::note_content_length(std::string_view value)
{
    if (has_length_ || !is_digits(value))
    {
        fail(bad_request("The Content-Length is repeated, or no number."));
        return;
    }
    has_length_ = true;
    std::uint64_t length = 0;
    if (value.size() <= max_length_digits)
    {
        std::from_chars(value.data(), value.data() + value.size(), length);
    }
    if (value.size() > max_length_digits || length > limits_.body_bytes)
    {
        fail(body_too_large(limits_.body_bytes));
        return;
    }
    remaining_ = length;
}

void request_framing::note_connection(std::string_view value)
{
    while (!value.empty())
    {
        const auto comma = std::min(value.find(','), value.size());
        const std::string option = lower_case(trimmed(value.substr(0, comma)));
        wants_close_ = wants_close_ || option == "close";
        wants_keep_alive_ = wants_keep_alive_ || option == "keep-alive";
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
}

void request_framing::check_header()
{
    if (chunked_ && has_length_)
    {
        fail(bad_request("Content-Length and Transfer-Encoding exclude each other."));
    }
    else if (chunked_ && http_1_0_)
    {
        fail(bad_request("HTTP/1.0 knows no Transfer-Encoding."));
    }
    else if (!has_host_ && !http_1_0_)
    {
        fail(bad_request("The header names no host."));
    }
}

void request_framing::finish_header(std::string& passed)
{
    check_header();
    if (stage_ == stage::failed)
    {
        return;
    }
    passed.append(header_).append("\r\n");
    header_.clear();
    stage_ = chunked_ || remaining_ > 0 ? stage::body : stage::complete;
}

std::size_t request_framing::feed_sized(std::string_view bytes, std::string& passed)
{
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    passed.append(bytes.substr(0, taken));
    remaining_ -= taken;
    sized_bytes_ += taken;
    if (remaining_ == 0)
    {
        stage_ = stage::complete;
    }
    return taken;
}

std::size_t request_framing::feed_chunked(std::string_view bytes, std::string& passed)
{
    const std::size_t taken = chunks_.feed(bytes, passed);
    if (chunks_.failed())
    {
        fail(chunks_.error());
    }
    else if (chunks_.complete())
    {
        stage_ = stage::complete;
    }
    return taken;
}

void request_framing::fail(framing_error error)
{
    stage_ = stage::failed;
    error_ = std::move(error);
}

request_framing::stage request_framing::current() const
{
    return stage_;
}

const framing_error& request_framing::error() const
{
    return error_;
}

const std::string& request_framing::method() const
{
    return method_;
}

const std::string& request_framing::target() const
{
    return target_;
}

bool request_framing::is_http_1_0() const
{
    return http_1_0_;
}

bool request_framing::keep_alive() const
{
    return !wants_close_ && (!http_1_0_ || wants_keep_alive_);
}

bool request_framing::expects_continue() const
{
    return expects_continue_ && !http_1_0_;
}

std::size_t request_framing::body_size() const
{
    return chunked_ ? chunks_.data_size() : sized_bytes_;
}

}  // namespace caraway::net
