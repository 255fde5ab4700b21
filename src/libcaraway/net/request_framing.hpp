#pragma once

#include "libcaraway/net/request_framing_chunks.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caraway::net
{

/// Where one HTTP/1 request begins and ends, and whether that is beyond doubt.
///
/// Qt's parser takes headers and bodies of any size, reads on after the trailer of a chunked body
/// as if the next request began there, and lets pass what two parsers may read differently (both
/// lengths at once, bare line feeds, folded lines). A caller could so exhaust memory, or have bytes
/// of a body run as a second request. Each byte therefore passes through here first; Qt's parser
/// only sees requests whose extent is certain. A state machine: bytes in, verdict out, no socket
/// and no time.
class request_framing
{
public:
    enum class stage
    {
        idle,      ///< No byte of a request has come.
        header,    ///< In the request line or the header fields.
        body,      ///< The header was accepted, the body isn't complete.
        complete,  ///< The whole request was taken; `reset` begins the next.
        failed,    ///< Refused, see `error`. Nothing more is taken.
    };

    explicit request_framing(framing_limits limits);

    /// Takes bytes up to the end of the request, and says how many it took. What a parser may see
    /// of them is appended to `passed`: without trailers, chunk extensions and offers to upgrade.
    std::size_t feed(std::string_view bytes, std::string& passed);

    /// Makes ready for the next request on the same connection.
    void reset();

    stage current() const;
    const framing_error& error() const;

    // Known once the stage is `body` or `complete`.

    const std::string& method() const;
    /// Path and query as sent; of an absolute target without scheme and authority.
    const std::string& target() const;
    bool is_http_1_0() const;
    /// Whether the caller wishes to go on using the connection.
    bool keep_alive() const;
    /// Whether the caller waits for 100 Continue before it sends the body.
    bool expects_continue() const;
    /// Bytes of the body so far, without the framing of chunks.
    std::size_t body_size() const;

private:
    std::size_t feed_header(std::string_view bytes, std::string& passed);
    std::size_t feed_sized(std::string_view bytes, std::string& passed);
    std::size_t feed_chunked(std::string_view bytes, std::string& passed);
    void take_header_byte(char byte, std::string& passed);
    void finish_line(std::string& passed);
    void finish_header(std::string& passed);
    void parse_request_line(std::string_view line);
    bool parse_target(std::string_view target);
    void parse_field(std::string_view line);
    void note_field(const std::string& name, std::string_view value);
    void note_content_length(std::string_view value);
    void note_connection(std::string_view value);
    void check_header();
    void fail(framing_error error);

    framing_limits limits_;
    stage stage_ = stage::idle;
    framing_error error_;

    std::string line_;
    /// The header as it will be passed on.
    std::string header_;
    std::size_t header_size_ = 0;
    bool has_request_line_ = false;

    std::string method_;
    std::string target_;
    bool http_1_0_ = false;
    bool has_host_ = false;
    bool has_length_ = false;
    bool chunked_ = false;
    bool expects_continue_ = false;
    bool wants_close_ = false;
    bool wants_keep_alive_ = false;

    /// Of a body announced by its length.
    std::uint64_t remaining_ = 0;
    std::size_t sized_bytes_ = 0;
    chunk_framing chunks_;
};

}  // namespace caraway::net
