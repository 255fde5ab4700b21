#include "libcaraway/http/answer_parser.hpp"

#include "libcaraway/http/message.hpp"

namespace caraway::http
{

void answer_parser::on_response_impl(int code, string_view, int, error_code&)
{
    head_.result(static_cast<unsigned>(code));
}

void answer_parser::on_field_impl(field, string_view name_text, string_view value, error_code&)
{
    if (!head_complete_)
    {
        head_.insert(view(name_text), view(value));
    }
}

void answer_parser::on_header_impl(error_code&)
{
    head_complete_ = true;
}

std::size_t answer_parser::on_body_impl(string_view bytes, error_code&)
{
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
}

std::size_t answer_parser::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error)
{
    return on_body_impl(bytes, error);
}

}  // namespace caraway::http
