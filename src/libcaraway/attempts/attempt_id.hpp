#pragma once

#include "libcaraway/base/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway::attempts
{

/// Name of the request header that carries the attempt id to the upstream.
inline constexpr const char* attempt_id_header = "X-Caraway-Attempt";

/// Identifies one attempt: one request sent once to one upstream. Unique across routers, their
/// incarnations, requests and retries, so that an answer to an earlier attempt or to an earlier
/// incarnation of the router matches no running attempt.
struct attempt_id
{
    base::node_ref router{};
    base::request_number request{};
    std::uint32_t count = 0;  ///< Starts at 1; 0 means the request before its first attempt.

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend std::strong_ordering operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// Formats the id for the header as `<node>.<incarnation>.<request>.<count>`, with decimal numbers.
std::string to_text(const attempt_id& id);

/// Parses the output of to_text(); returns nullopt for any other text.
std::optional<attempt_id> parse_attempt_id(std::string_view text);

}  // namespace caraway::attempts
