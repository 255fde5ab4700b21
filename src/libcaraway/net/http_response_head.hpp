#pragma once

#include "libcaraway/net/http_message.hpp"

#include <QByteArray>

#include <cstddef>
#include <optional>

namespace caraway::net
{

/// How the caller of one request must be answered, whatever the handler says.
struct answer_form
{
    bool is_http_1_0 = false;
    /// The request was HEAD: same header, no body.
    bool is_head = false;
    /// The connection may carry another request after this answer.
    bool keep_alive = true;
};

/// Whether answers of that status never have a body (204, 304).
bool has_no_body(int status);

/// Status line and header block. With a length, of a body in one piece; without, of a streamed one.
/// Connection, Keep-Alive, Transfer-Encoding, Content-Length and whatever holds a line break are
/// left out of the headers given: a second framing header, or one smuggled in by a value, would let
/// the caller see the answer end elsewhere. Only for HEAD a Content-Length is kept.
QByteArray response_head(int status, const std::vector<http_header>& headers,
                         const answer_form& form, std::optional<std::size_t> length);

}  // namespace caraway::net
