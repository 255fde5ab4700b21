#include "standin_platform/table_service.hpp"

#include "libstandin/json.hpp"

#include <QJsonArray>

#include <algorithm>

namespace standin_platform
{

namespace
{

/// A query's answer holds no more than so many bytes of items.
constexpr qsizetype page_bytes = 1 << 20;

standin::answer table_answer(const QJsonObject& body, int status = 200)
{
    return {.status = status,
            .content_type = "application/x-amz-json-1.0",
            .body = standin::to_json(body)};
}

QJsonObject error_body(const std::string& type, const std::string& message)
{
    const QString space = type == "ValidationException" || type == "SerializationException"
                              ? QStringLiteral("com.amazon.coral.validate#")
                              : QStringLiteral("com.amazonaws.dynamodb.v20120810#");
    return {{QStringLiteral("__type"), space + QString::fromStdString(type)},
            {QStringLiteral("message"), QString::fromStdString(message)}};
}

standin::answer error_answer(const table_error& error)
{
    return table_answer(error_body(error.type, error.message), 400);
}

standin::answer refused(refusal why)
{
    switch (why)
    {
    case refusal::outage:
        return table_answer(error_body("ServiceUnavailableException", "Unavailable"), 503);
    case refusal::failure:
        return table_answer(error_body("InternalServerError", "Internal error"), 500);
    case refusal::throttled:
        break;
    }
    return error_answer({.type = "ProvisionedThroughputExceededException",
                         .message = "The level of configured provisioned throughput for the "
                                    "table was exceeded"});
}

standin::answer cancelled(const std::vector<bool>& held)
{
    QStringList codes;
    QJsonArray reasons;
    for (const bool one : held)
    {
        codes << (one ? QStringLiteral("None") : QStringLiteral("ConditionalCheckFailed"));
        QJsonObject reason{{QStringLiteral("Code"), codes.back()}};
        if (!one)
        {
            reason[QStringLiteral("Message")] = QStringLiteral("The conditional request failed");
        }
        reasons.append(reason);
    }
    const QString message =
        QStringLiteral("Transaction cancelled, please refer cancellation reasons for specific "
                       "reasons [") +
        codes.join(QStringLiteral(", ")) + QLatin1Char(']');
    QJsonObject body = error_body("TransactionCanceledException", message.toStdString());
    body[QStringLiteral("Message")] = message;
    body[QStringLiteral("CancellationReasons")] = reasons;
    return table_answer(body, 400);
}

/// Drops what a former page has given.
void skip_to(std::vector<item>& items, const item_range& range)
{
    if (!range.after)
    {
        return;
    }
    std::erase_if(items,
                  [&](const item& one)
                  {
                      const auto key = key_of(one);
                      return range.forward ? key <= *range.after : key >= *range.after;
                  });
}

}  // namespace

table_service::table_service(const caraway::base::clock& clock,
                             std::chrono::milliseconds token_lifetime)
    : clock_(clock), token_lifetime_(token_lifetime), gate_(clock, refused)
{
}

void table_service::handle(const service_gate::call_ptr& call)
{
    const auto& http = call->request();
    const auto request = parse_table_request(http.header("X-Amz-Target"), http.body);
    const access what = request ? access{.operation = name(request.value().what),
                                         .reads = request.value().is_write() ? 0 : 1,
                                         .writes = static_cast<int>(request.value().writes.size())}
                                : access{.operation = "invalid"};
    gate_.pass(call, what,
               [this, request]
               { return request ? execute(request.value()) : error_answer(request.error()); });
}

service_gate& table_service::gate()
{
    return gate_;
}

standin::answer table_service::execute(const table_request& request)
{
    switch (request.what)
    {
    case operation::get_item:
        return get(request.key);
    case operation::query:
        return query(request.range);
    case operation::put_item:
    case operation::delete_item:
        return put_or_delete(request.writes.front());
    case operation::transact_write_items:
        break;
    }
    return transact(request);
}

standin::answer table_service::get(const item_key& key) const
{
    const auto found = table_.find(key);
    return table_answer(found ? QJsonObject{{QStringLiteral("Item"), *found}} : QJsonObject{});
}

standin::answer table_service::query(const item_range& range) const
{
    auto found = table_.query(range.pk, range.prefix);
    skip_to(found, range);
    if (!range.forward)
    {
        std::reverse(found.begin(), found.end());
    }
    QJsonArray page;
    qsizetype bytes = 0;
    std::optional<item_key> last;
    for (const auto& one : found)
    {
        if (bytes >= page_bytes || (range.limit > 0 && page.size() == range.limit))
        {
            last = key_of(page.last().toObject());
            break;
        }
        bytes += standin::to_json(one).size();
        page.append(one);
    }
    QJsonObject body{{QStringLiteral("Items"), page},
                     {QStringLiteral("Count"), page.size()},
                     {QStringLiteral("ScannedCount"), page.size()}};
    if (last)
    {
        body[QStringLiteral("LastEvaluatedKey")] = key_attributes(*last);
    }
    return table_answer(body);
}

standin::answer table_service::put_or_delete(const write& one)
{
    if (!table_.commit({one}).front())
    {
        return error_answer({.type = "ConditionalCheckFailedException",
                             .message = "The conditional request failed"});
    }
    return table_answer({});
}

standin::answer table_service::transact(const table_request& request)
{
    forget_old_tokens();
    if (const auto known = tokens_.find(request.token); known != tokens_.end())
    {
        if (known->body == request.body)
        {
            return table_answer({});
        }
        return error_answer({.type = "IdempotentParameterMismatchException",
                             .message = "The token was used by another request"});
    }
    const auto held = table_.commit(request.writes);
    if (std::find(held.begin(), held.end(), false) != held.end())
    {
        return cancelled(held);
    }
    if (!request.token.isEmpty())
    {
        tokens_.insert(request.token, {.body = request.body, .at = clock_.now()});
    }
    return table_answer({});
}

void table_service::forget_old_tokens()
{
    const auto oldest = clock_.now() - token_lifetime_;
    tokens_.removeIf([oldest](const auto& one) { return one.value().at < oldest; });
}

}  // namespace standin_platform
