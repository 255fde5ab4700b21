#pragma once

#include "libcaraway/attempts/attempt_id.hpp"
#include "libcaraway/attempts/digest.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/config/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace caraway::attempts
{

/// State of a call with an idempotency key.
enum class once_state
{
    started,   ///< Claimed; the holder may send the call or has sent it.
    finished,  ///< Answered; the status, the hash and a small body are stored.
    unknown,   ///< Sent; the holder knows that the result is lost.
    released,  ///< The holder has not sent the call and never will; the key may be claimed again.
};

/// Body of the table row with partition key once#<workspace>#<sha256 of key> and sort key claim.
struct once_record
{
    attempt_id holder{};
    once_state state = once_state::started;
    /// SHA-256 of workspace, method, path and body; differs for a different request.
    config::sha256_hex fingerprint{};
    /// Wall clock of the holder, in milliseconds since 1970. Only decides whether a started record
    /// is reported as "in progress" or "unknown", both of which are correct for it.
    std::int64_t started_at_ms = 0;
    std::uint16_t status = 0;
    config::sha256_hex answer_hash{};
    std::string content_type{};
    /// The answer's body if has_body.
    std::string body{};
    bool has_body = false;

    friend bool operator==(const once_record&, const once_record&) = default;
};

/// Partition key and sort key of a table row.
struct row_key
{
    std::string pk;
    std::string sk;

    friend bool operator==(const row_key&, const row_key&) = default;
};

/// Key of the row for a caller's idempotency key in a workspace.
row_key once_row_key(const base::workspace_id& workspace, std::string_view key);

/// Hash that is equal only for the same request. `path` includes the query.
config::sha256_hex once_fingerprint(const base::workspace_id& workspace, std::string_view method,
                                    std::string_view path, std::string_view body);

std::string to_json(const once_record& record);
base::result<once_record> parse_once_record(std::string_view json);

}  // namespace caraway::attempts
