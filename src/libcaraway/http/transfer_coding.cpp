#include "libcaraway/http/transfer_coding.hpp"

namespace caraway::http
{

bool has_known_coding(const field_lines& head, unsigned version)
{
    using boost::beast::http::field;
    const auto codings = head.count(field::transfer_encoding);
    if (codings == 0)
    {
        return true;
    }
    constexpr unsigned http_1_1 = 11;
    return codings == 1 && version >= http_1_1 &&
           is_same_name(head[field::transfer_encoding], "chunked");
}

}  // namespace caraway::http
