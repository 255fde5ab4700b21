#pragma once

#include "libcaraway/http/answer_head.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace caraway::http
{

/// Parses one answer into a flat head, and its body as it arrives. Fields behind a chunked body are
/// left out.
class answer_parser final : public boost::beast::http::basic_parser<false>
{
public:
    const answer_head& head() const
    {
        return head_;
    }
    /// The part of the body that has not been taken.
    std::string& body()
    {
        return body_;
    }

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;
    using field = boost::beast::http::field;
    using verb = boost::beast::http::verb;

    void on_request_impl(verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int code, string_view reason, int version, error_code&) override;
    void on_field_impl(field name, string_view name_text, string_view value, error_code&) override;
    void on_header_impl(error_code&) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view bytes, error_code&) override;
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) override;
    void on_finish_impl(error_code&) override {}

    bool head_complete_ = false;
    answer_head head_;
    std::string body_;
};

}  // namespace caraway::http
