#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

class QNetworkReply;

namespace caraway::net
{

/// What came of an answer.
struct received_answer
{
    /// 0 without a header.
    int status = 0;
    const std::vector<http_header>& headers;
    /// Bytes of the body.
    std::uint64_t received = 0;
};

/// Fields of the answer's head, in the order in which they came.
std::vector<http_header> headers_of(const QNetworkReply& reply);

/// Its Content-Length, if that is how it says where it ends.
std::optional<std::uint64_t> announced_length(const received_answer& answer);

/// Why an answer with this head can't be passed on: unknown_effect. An error without message where
/// its status is a final one and, if a body follows, its end can be told (RFC 9112, 6.3). Of a head
/// that it can't read, Qt gives the status and no field.
base::error judge_head(const received_answer& answer, bool has_body, const std::string& upstream);

/// Why the answer of a finished reply whose head was passed on can't count as whole: unavailable
/// where the upstream refused the connection, else unknown_effect. An error without message where
/// its framing ended properly.
base::error judge(const QNetworkReply& reply, const received_answer& answer,
                  const std::string& upstream);

}  // namespace caraway::net
