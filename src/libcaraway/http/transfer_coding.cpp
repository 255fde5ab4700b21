#include "libcaraway/http/transfer_coding.hpp"

namespace caraway::http
{

bool has_known_coding(const field_lines& head, unsigned version)
{
    constexpr unsigned http_1_1 = 11;
    std::size_t codings = 0;
    bool is_known = true;
    for (const auto& line : head)
    {
        if (is_same_name(line.name_string(), "Transfer-Encoding"))
        {
            ++codings;
            is_known = version >= http_1_1 && is_same_name(line.value(), "chunked");
        }
    }
    return codings <= 1 && is_known;
}

}  // namespace caraway::http
