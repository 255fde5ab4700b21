#pragma once

#include "libcaraway/http/flat_parser.hpp"

namespace caraway::http
{

/// Parses one answer; its body is taken as it arrives.
class answer_parser final : public flat_parser<false, answer_head>
{
private:
    void on_response_impl(int code, string_view, int version, error_code&) override
    {
        head().set_version(static_cast<unsigned>(version));
        head().result(static_cast<unsigned>(code));
    }
};

}  // namespace caraway::http
