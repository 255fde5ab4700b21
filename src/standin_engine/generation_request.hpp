#pragma once

#include "libcaraway/base/error.hpp"

#include <QByteArray>

namespace standin
{
struct http_request;
}

namespace standin_engine
{

/// Which of the two OpenAI interfaces was called.
enum class endpoint
{
    chat,  ///< `/v1/chat/completions`
    text,  ///< `/v1/completions`
};

/// What is to be generated, read from the caller's JSON.
struct generation_request
{
    endpoint kind = endpoint::chat;
    QByteArray request_id;  ///< X-Request-Id; empty when there is none.
    QByteArray model;
    QByteArray prompt;
    bool stream = false;
    bool include_usage = false;
    int tokens = 0;       ///< Length of the whole answer.
    bool capped = false;  ///< `max_tokens` cut the answer off.
    int resume_from = 0;  ///< First token wanted, of the same answer.

    int prompt_tokens() const;
};

/// Reads a request; the error's message is meant for the caller.
caraway::base::result<generation_request> parse_generation(endpoint kind,
                                                           const standin::http_request& request);

}  // namespace standin_engine
