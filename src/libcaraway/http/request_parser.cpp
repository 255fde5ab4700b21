#include "libcaraway/http/request_parser.hpp"

namespace caraway::http
{

void request_parser::on_request_impl(verb, string_view method_name, string_view target, int version,
                                     error_code&)
{
    head().set_method(view(method_name));
    head().target(view(target));
    head().set_version(static_cast<unsigned>(version));
}

void request_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&)
{
    if (keeps_body_ && length)
    {
        body().reserve(static_cast<std::size_t>(*length));
    }
}

std::size_t request_parser::on_body_impl(string_view bytes, error_code& error)
{
    return keeps_body_ ? flat_parser::on_body_impl(bytes, error) : bytes.size();
}

}  // namespace caraway::http
