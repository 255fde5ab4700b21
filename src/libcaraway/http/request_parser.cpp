#include "libcaraway/http/request_parser.hpp"

#include "libcaraway/http/message.hpp"

namespace caraway::http
{

void request_parser::on_request_impl(verb, string_view method_name, string_view target, int version,
                                     error_code&)
{
    head_.set_method(view(method_name));
    head_.target(view(target));
    head_.set_version(static_cast<unsigned>(version));
}

void request_parser::on_field_impl(field, string_view name_text, string_view value, error_code&)
{
    if (!head_complete_)
    {
        head_.insert(view(name_text), view(value));
    }
}

void request_parser::on_header_impl(error_code&)
{
    head_complete_ = true;
}

void request_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&)
{
    if (keeps_body_ && length)
    {
        body_.reserve(static_cast<std::size_t>(*length));
    }
}

std::size_t request_parser::on_body_impl(string_view bytes, error_code&)
{
    if (keeps_body_)
    {
        body_.append(bytes.data(), bytes.size());
    }
    return bytes.size();
}

std::size_t request_parser::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error)
{
    return on_body_impl(bytes, error);
}

}  // namespace caraway::http
