#pragma once

#include "libcaraway/http/message.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <string>

namespace caraway::http
{

/// What parsing a request and parsing an answer have in common: the head's lines in a flat head,
/// and the body. Fields behind a chunked body are left out: a caller could use them to override
/// fields of the head.
template <bool IsRequest, class Head>
class flat_parser : public boost::beast::http::basic_parser<IsRequest>
{
public:
    Head& head()
    {
        return head_;
    }
    const Head& head() const
    {
        return head_;
    }
    /// The part of the body that has not been taken.
    std::string& body()
    {
        return body_;
    }
    const std::string& body() const
    {
        return body_;
    }

protected:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(verb, string_view, string_view, int, error_code&) override {}
    void on_response_impl(int, string_view, int, error_code&) override {}
    void on_field_impl(field, string_view name, string_view value, error_code&) override
    {
        if (!head_complete_)
        {
            head_.insert(view(name), view(value));
        }
    }
    void on_header_impl(error_code&) override
    {
        head_complete_ = true;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override {}
    std::size_t on_body_impl(string_view bytes, error_code&) override
    {
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) override
    {
        return on_body_impl(bytes, error);
    }
    void on_finish_impl(error_code&) override {}

private:
    bool head_complete_ = false;
    Head head_;
    std::string body_;
};

}  // namespace caraway::http
