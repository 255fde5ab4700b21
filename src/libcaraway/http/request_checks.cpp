#include "libcaraway/http/request_checks.hpp"

#include "libcaraway/http/transfer_coding.hpp"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace caraway::http
{

namespace
{

namespace beast_http = boost::beast::http;

}  // namespace

bool has_unambiguous_framing(const request_head& head)
{
    const auto encodings = head.count(field::transfer_encoding);
    const auto length_fields = head.count(field::content_length);
    if (length_fields > 1 || (length_fields > 0 && encodings > 0))
    {
        return false;
    }
    if (encodings > 0 && !has_known_coding(head, head.version()))
    {
        return false;
    }
    const auto length = head[field::content_length];
    return std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool has_one_host(const request_head& head)
{
    const auto hosts = head.count(field::host);
    return hosts == 1 || (hosts == 0 && head.version() < 11);
}

status rejection_status(const boost::system::error_code& error)
{
    if (error == beast_http::error::header_limit)
    {
        return status::request_header_fields_too_large;
    }
    if (error == beast_http::error::body_limit)
    {
        return status::payload_too_large;
    }
    return status::bad_request;
}

}  // namespace caraway::http
