#pragma once

#include "libcaraway/http/flat_parser.hpp"

namespace caraway::http
{

/// Parses one answer; its body is taken as it arrives.
class answer_parser final : public flat_parser<false, answer_head>
{
private:
    void on_response_impl(int code, string_view, int, error_code&) override
    {
        head().result(static_cast<unsigned>(code));
    }
};

}  // namespace caraway::http
