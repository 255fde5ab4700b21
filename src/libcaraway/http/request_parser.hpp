#pragma once

#include "libcaraway/http/flat_parser.hpp"

namespace caraway::http
{

/// Parses one request.
class request_parser final : public flat_parser<true, request_head>
{
public:
    /// Without `keeps_body` the body is checked and dropped.
    explicit request_parser(bool keeps_body) : keeps_body_(keeps_body) {}

private:
    void on_request_impl(verb method, string_view method_name, string_view target, int version,
                         error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override;
    std::size_t on_body_impl(string_view bytes, error_code& error) override;

    bool keeps_body_;
};

}  // namespace caraway::http
