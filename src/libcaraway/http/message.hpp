#pragma once

#include "libcaraway/http/answer_head.hpp"
#include "libcaraway/http/request_head.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string_view>

/// HTTP/1.1 with callers, upstreams, the platform's store and peers, on Boost.Asio sockets and the
/// Boost.Beast parser. All of it runs on one thread.
namespace caraway::http
{

/// Head of an answer that is to be sent.
using response_head = boost::beast::http::response_header<>;
using field = boost::beast::http::field;
using status = boost::beast::http::status;
using verb = boost::beast::http::verb;

/// Converts Beast's string view to the standard one.
inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view view(std::string_view text)
{
    return text;
}

/// Makes an HTTP/1.1 response head without fields.
inline response_head make_response(status code)
{
    response_head head;
    head.version(11);
    head.result(code);
    return head;
}

/// Whether only the end of the connection shows where the answer's body ends.
inline bool ends_with_connection(const answer_head& head)
{
    const bool has_body =
        head.result() != status::no_content && head.result() != status::not_modified;
    return has_body && head.find(field::content_length) == head.end() &&
           head.find(field::transfer_encoding) == head.end();
}

}  // namespace caraway::http
