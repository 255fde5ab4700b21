#pragma once

#include "libcaraway/http/request_head.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace caraway::http
{

/// Parses one request into a flat head and a body. Fields behind a chunked body are left out: a
/// caller could use them to override fields of the head.
class request_parser final : public boost::beast::http::basic_parser<true>
{
public:
    /// Without `keeps_body` the body is checked and dropped.
    explicit request_parser(bool keeps_body) : keeps_body_(keeps_body) {}

    request_head& head()
    {
        return head_;
    }
    const request_head& head() const
    {
        return head_;
    }
    std::string& body()
    {
        return body_;
    }
    const std::string& body() const
    {
        return body_;
    }

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;
    using field = boost::beast::http::field;
    using verb = boost::beast::http::verb;

    void on_request_impl(verb method, string_view method_name, string_view target, int version,
                         error_code& error) override;
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(field name, string_view name_text, string_view value,
                       error_code& error) override;
    void on_header_impl(error_code&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override;
    std::size_t on_body_impl(string_view bytes, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) override;
    void on_finish_impl(error_code&) override {}

    bool keeps_body_;
    bool head_complete_ = false;
    request_head head_;
    std::string body_;
};

}  // namespace caraway::http
