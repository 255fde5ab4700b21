#include "libcaraway/net/request_framing_chunks.hpp"

#include "libcaraway/net/http_syntax.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace caraway::net
{

namespace
{

/// Enough for any size that can be accepted, and far from an overflow.
constexpr std::size_t max_size_digits = 15;
constexpr std::size_t max_extension_bytes = 1024;

}  // namespace

framing_error bad_request(std::string message)
{
    return {.status = 400, .code = "bad_request", .message = std::move(message)};
}

framing_error header_too_large(std::size_t limit)
{
    return {.status = 431,
            .code = "header_too_large",
            .message = "The header exceeds " + std::to_string(limit) + " bytes."};
}

framing_error body_too_large(std::size_t limit)
{
    return {.status = 413,
            .code = "body_too_large",
            .message = "The body exceeds " + std::to_string(limit) + " bytes."};
}

chunk_framing::chunk_framing(framing_limits limits) : limits_(limits) {}

std::size_t chunk_framing::feed(std::string_view bytes, std::string& passed)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && part_ != part::complete && part_ != part::failed)
    {
        if (part_ == part::data)
        {
            taken += feed_data(bytes.substr(taken), passed);
            continue;
        }
        feed_control(bytes[taken], passed);
        ++taken;
    }
    return taken;
}

std::size_t chunk_framing::feed_data(std::string_view bytes, std::string& passed)
{
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    passed.append(bytes.substr(0, taken));
    remaining_ -= taken;
    data_size_ += taken;
    if (remaining_ == 0)
    {
        passed.append("\r\n");
        part_ = part::data_return;
    }
    return taken;
}

void chunk_framing::feed_control(char byte, std::string& passed)
{
    switch (part_)
    {
    case part::size:
        feed_size(byte);
        break;
    case part::extension:
        feed_extension(byte);
        break;
    case part::size_line_feed:
        expect(byte, '\n', part::data);
        if (part_ == part::data)
        {
            begin_chunk(passed);
        }
        break;
    case part::data_return:
        expect(byte, '\r', part::data_line_feed);
        break;
    case part::data_line_feed:
        expect(byte, '\n', part::size);
        break;
    case part::trailer:
        feed_trailer(byte, passed);
        break;
    case part::data:
    case part::complete:
    case part::failed:
        break;
    }
}

void chunk_framing::feed_size(char byte)
{
    const int digit = hex_value(byte);
    if (digit >= 0 && size_digits_ < max_size_digits)
    {
        ++size_digits_;
        remaining_ = remaining_ * 16 + static_cast<std::uint64_t>(digit);
    }
    else if (size_digits_ > 0 && byte == ';')
    {
        part_ = part::extension;
    }
    else if (size_digits_ > 0 && byte == '\r')
    {
        part_ = part::size_line_feed;
    }
    else
    {
        fail(bad_request("A chunk of the body has no proper size."));
    }
}

void chunk_framing::feed_extension(char byte)
{
    if (byte == '\r')
    {
        part_ = part::size_line_feed;
    }
    else if (is_control(byte) || ++control_size_ > max_extension_bytes)
    {
        fail(bad_request("A chunk of the body has no proper extension."));
    }
}

void chunk_framing::begin_chunk(std::string& passed)
{
    if (remaining_ > limits_.body_bytes - data_size_)
    {
        fail(body_too_large(limits_.body_bytes));
        return;
    }
    std::array<char, max_size_digits + 1> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), remaining_, 16);
    passed.append(digits.data(), written.ptr).append("\r\n");
    part_ = remaining_ > 0 ? part::data : part::trailer;
    size_digits_ = 0;
    control_size_ = 0;
}

void chunk_framing::feed_trailer(char byte, std::string& passed)
{
    const char previous = std::exchange(previous_, byte);
    if (++control_size_ > limits_.header_bytes)
    {
        fail(header_too_large(limits_.header_bytes));
        return;
    }
    if ((byte == '\n') != (previous == '\r'))
    {
        fail(bad_request("A line of the trailer doesn't end properly."));
        return;
    }
    if (byte == '\n' && trailer_line_size_ == 0)
    {
        passed.append("\r\n");
        part_ = part::complete;
        return;
    }
    if (byte == '\n')
    {
        trailer_line_size_ = 0;
    }
    else if (byte != '\r')
    {
        ++trailer_line_size_;
    }
}

void chunk_framing::expect(char byte, char expected, part next)
{
    if (byte == expected)
    {
        part_ = next;
        return;
    }
    fail(bad_request("The body isn't properly divided into chunks."));
}

void chunk_framing::fail(framing_error error)
{
    part_ = part::failed;
    error_ = std::move(error);
}

bool chunk_framing::complete() const
{
    return part_ == part::complete;
}

bool chunk_framing::failed() const
{
    return part_ == part::failed;
}

const framing_error& chunk_framing::error() const
{
    return error_;
}

std::size_t chunk_framing::data_size() const
{
    return data_size_;
}

}  // namespace caraway::net
