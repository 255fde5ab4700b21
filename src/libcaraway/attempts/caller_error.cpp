#include "libcaraway/attempts/caller_error.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <algorithm>
#include <array>
#include <utility>

namespace caraway::attempts
{

namespace
{

struct code_row
{
    error_code code;
    const char* name;
    std::uint16_t status;
    const char* type;
    outcome result;
};

constexpr const char* invalid = "invalid_request_error";
constexpr const char* conflict = "conflict_error";
constexpr const char* overload = "rate_limit_error";
constexpr const char* server = "server_error";
constexpr const char* timeout = "timeout_error";

/// One row per code, in the order of error_code.
constexpr std::array<code_row, 22> code_table{{
    {error_code::invalid_request, "invalid_request", 400, invalid, outcome::not_run},
    {error_code::unauthenticated, "unauthenticated", 401, "authentication_error", outcome::not_run},
    {error_code::permission_denied, "permission_denied", 403, "permission_error", outcome::not_run},
    {error_code::not_found, "not_found", 404, "not_found_error", outcome::not_run},
    {error_code::request_timeout, "request_timeout", 408, timeout, outcome::not_run},
    {error_code::in_progress, "in_progress", 409, conflict, outcome::unknown},
    {error_code::already_done, "already_done", 409, conflict, outcome::done},
    {error_code::outcome_unknown, "outcome_unknown", 409, conflict, outcome::unknown},
    {error_code::ticket_void, "ticket_void", 409, conflict, outcome::unknown},
    {error_code::body_too_large, "body_too_large", 413, invalid, outcome::not_run},
    {error_code::key_reused, "key_reused", 422, invalid, outcome::not_run},
    {error_code::crashes_upstreams, "crashes_upstreams", 422, invalid, outcome::not_run},
    {error_code::too_many_requests, "too_many_requests", 429, overload, outcome::not_run},
    {error_code::headers_too_large, "headers_too_large", 431, invalid, outcome::not_run},
    {error_code::internal, "internal", 500, server, outcome::unknown},
    {error_code::upstream_lost, "upstream_lost", 502, server, outcome::unknown},
    {error_code::upstream_unavailable, "upstream_unavailable", 503, server, outcome::not_run},
    {error_code::no_upstream, "no_upstream", 503, server, outcome::not_run},
    {error_code::wait_expired, "wait_expired", 503, server, outcome::not_run},
    {error_code::store_unavailable, "store_unavailable", 503, server, outcome::not_run},
    {error_code::stopping, "stopping", 503, server, outcome::not_run},
    {error_code::upstream_timeout, "upstream_timeout", 504, timeout, outcome::unknown},
}};

const code_row& row(error_code code)
{
    return code_table.at(static_cast<std::size_t>(code));
}

}  // namespace

const char* name(error_code code)
{
    return row(code).name;
}

std::uint16_t http_status(error_code code)
{
    return row(code).status;
}

const char* type(error_code code)
{
    return row(code).type;
}

outcome default_outcome(error_code code)
{
    return row(code).result;
}

caller_error make_caller_error(error_code code, std::string message,
                               std::optional<std::chrono::milliseconds> retry_after)
{
    return {.code = code,
            .message = std::move(message),
            .result = default_outcome(code),
            .retry_after = retry_after};
}

std::string to_json(const caller_error& error, const base::request_id& request)
{
    const QJsonObject inner{
        {QStringLiteral("message"), QString::fromStdString(error.message)},
        {QStringLiteral("type"), QString::fromLatin1(type(error.code))},
        {QStringLiteral("code"), QString::fromLatin1(name(error.code))},
        {QStringLiteral("outcome"), QString::fromLatin1(name(error.result))},
        {QStringLiteral("request_id"), QString::fromStdString(request.str())},
    };
    const QJsonObject outer{{QStringLiteral("error"), inner}};
    return QJsonDocument(outer).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<std::string> retry_after_header(const caller_error& error)
{
    if (!error.retry_after)
    {
        return std::nullopt;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retry_after).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

}  // namespace caraway::attempts
