#include "libcaraway/attempts/attempt_id.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace caraway::attempts
{

namespace
{

constexpr std::size_t max_node_length = 128;

/// Removes the last `.`-separated part from `text` and returns it as a number. Accepts only the
/// form that to_text() writes: decimal, no sign, no leading zeros.
template <class Number>
std::optional<Number> pop_last_number(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto digits = text.substr(dot + 1);
    Number value{};
    const auto* const end = digits.data() + digits.size();
    const auto [rest, failure] = std::from_chars(digits.data(), end, value);
    if (failure != std::errc{} || rest != end || (digits.size() > 1 && digits.front() == '0'))
    {
        return std::nullopt;
    }
    text.remove_suffix(digits.size() + 1);
    return value;
}

bool is_node_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_node_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

}  // namespace

std::string to_text(const attempt_id& id)
{
    return id.router.id.str() + '.' + std::to_string(static_cast<std::uint64_t>(id.router.life)) +
           '.' + std::to_string(static_cast<std::uint64_t>(id.request)) + '.' +
           std::to_string(id.count);
}

std::optional<attempt_id> parse_attempt_id(std::string_view text)
{
    const auto count = pop_last_number<std::uint32_t>(text);
    const auto request = pop_last_number<std::uint64_t>(text);
    const auto incarnation = pop_last_number<std::uint64_t>(text);
    if (!count || !request || !incarnation || !is_node_name(text))
    {
        return std::nullopt;
    }
    return attempt_id{
        .router = {.id = base::node_id(std::string(text)), .life = base::incarnation{*incarnation}},
        .request = base::request_number{*request},
        .count = *count};
}

}  // namespace caraway::attempts
