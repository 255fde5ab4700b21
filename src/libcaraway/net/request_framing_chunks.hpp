#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caraway::net
{

struct framing_limits
{
    /// Request line and header fields together; also the trailer of a chunked body.
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = std::size_t{8} << 20;
};

/// Why a request is refused, as the caller is told.
struct framing_error
{
    int status = 0;
    std::string code{};
    std::string message{};
};

framing_error bad_request(std::string message);
framing_error header_too_large(std::size_t limit);
framing_error body_too_large(std::size_t limit);

/// Finds the end of a chunked body; the part of `request_framing` that deals with chunks.
class chunk_framing
{
public:
    explicit chunk_framing(framing_limits limits);

    /// Takes bytes up to the end of the body, and says how many it took. The same body without
    /// chunk extensions and trailer is appended to `passed`. Takes at least one byte unless
    /// `complete` or `failed`.
    std::size_t feed(std::string_view bytes, std::string& passed);

    bool complete() const;
    bool failed() const;
    const framing_error& error() const;
    /// Bytes of data so far.
    std::size_t data_size() const;

private:
    enum class part
    {
        size,
        extension,
        size_line_feed,
        data,
        data_return,
        data_line_feed,
        trailer,
        complete,
        failed,
    };

    std::size_t feed_data(std::string_view bytes, std::string& passed);
    void feed_control(char byte, std::string& passed);
    void feed_size(char byte);
    void feed_extension(char byte);
    void begin_chunk(std::string& passed);
    void feed_trailer(char byte, std::string& passed);
    void expect(char byte, char expected, part next);
    void fail(framing_error error);

    framing_limits limits_;
    framing_error error_;
    part part_ = part::size;
    /// Of the chunk's data, or its size while that is being read.
    std::uint64_t remaining_ = 0;
    std::size_t size_digits_ = 0;
    std::size_t data_size_ = 0;
    /// Of the extension or the trailer being read.
    std::size_t control_size_ = 0;
    std::size_t trailer_line_size_ = 0;
    char previous_ = '\0';
};

}  // namespace caraway::net
