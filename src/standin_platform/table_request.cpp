#include "standin_platform/table_request.hpp"

#include "libstandin/json.hpp"

#include <boost/outcome/try.hpp>

#include <QJsonArray>

#include <algorithm>
#include <array>

namespace standin_platform
{

namespace
{

constexpr int most_writes = 100;

constexpr std::array operations = {operation::get_item, operation::put_item, operation::delete_item,
                                   operation::query, operation::transact_write_items};

const QLatin1String expression_values("ExpressionAttributeValues");

table_error invalid(const char* message)
{
    return {.type = "ValidationException", .message = message};
}

table_result<void> check_table(const QJsonObject& body)
{
    if (body[QLatin1String("TableName")].toString() != QLatin1String("caraway"))
    {
        return table_error{.type = "ResourceNotFoundException",
                           .message = "Requested resource not found"};
    }
    return boost::outcome_v2::success();
}

table_result<item_key> parse_key(const QJsonObject& attributes)
{
    const QJsonValue pk = attributes[QLatin1String("pk")][QLatin1String("S")];
    const QJsonValue sk = attributes[QLatin1String("sk")][QLatin1String("S")];
    if (pk.toString().isEmpty() || sk.toString().isEmpty())
    {
        return invalid("The provided key element does not match the schema");
    }
    return item_key{.pk = pk.toString(), .sk = sk.toString()};
}

table_result<condition> parse_condition(const QJsonObject& body)
{
    const QString text = body[QLatin1String("ConditionExpression")].toString();
    if (text.isEmpty())
    {
        return condition{};
    }
    if (text == QLatin1String("attribute_not_exists(pk)"))
    {
        return condition{must_not_exist{}};
    }
    const QJsonValue rev = body[expression_values][QLatin1String(":rev")][QLatin1String("N")];
    if (text != QLatin1String("rev = :rev") || !rev.isString())
    {
        return invalid("Invalid ConditionExpression");
    }
    return condition{must_have_revision{.rev = rev.toString()}};
}

table_result<write> parse_write(write::kind what, const QJsonObject& body)
{
    BOOST_OUTCOME_TRYV(check_table(body));
    const QLatin1String holder(what == write::kind::put ? "Item" : "Key");
    const QJsonObject attributes = body[holder].toObject();
    BOOST_OUTCOME_TRY(key, parse_key(attributes));
    BOOST_OUTCOME_TRY(must, parse_condition(body));
    return write{.what = what,
                 .key = key,
                 .content = what == write::kind::put ? attributes : item{},
                 .must = must};
}

table_result<write> parse_transact_item(const QJsonObject& member)
{
    if (member.contains(QLatin1String("Put")))
    {
        return parse_write(write::kind::put, member[QLatin1String("Put")].toObject());
    }
    if (member.contains(QLatin1String("Delete")))
    {
        return parse_write(write::kind::erase, member[QLatin1String("Delete")].toObject());
    }
    if (member.contains(QLatin1String("ConditionCheck")))
    {
        return parse_write(write::kind::check, member[QLatin1String("ConditionCheck")].toObject());
    }
    return invalid("TransactItems: Put, Delete or ConditionCheck expected");
}

table_result<std::vector<write>> parse_transaction(const QJsonObject& body)
{
    const QJsonArray members = body[QLatin1String("TransactItems")].toArray();
    if (members.isEmpty() || members.size() > most_writes)
    {
        return invalid("TransactItems: from 1 to 100 members");
    }
    std::vector<write> writes;
    for (const auto& member : members)
    {
        BOOST_OUTCOME_TRY(one, parse_transact_item(member.toObject()));
        const bool twice = std::any_of(writes.begin(), writes.end(),
                                       [&](const write& other) { return other.key == one.key; });
        if (twice)
        {
            return invalid("Transaction request cannot include multiple operations on one item");
        }
        writes.push_back(std::move(one));
    }
    return writes;
}

table_result<item_range> parse_range(const QJsonObject& body)
{
    const QString text = body[QLatin1String("KeyConditionExpression")].toString().simplified();
    const QJsonValue values = body[expression_values];
    item_range range;
    range.pk = values[QLatin1String(":pk")][QLatin1String("S")].toString();
    range.forward = body[QLatin1String("ScanIndexForward")].toBool(true);
    range.limit = body[QLatin1String("Limit")].toInt();
    const bool prefixed = text.compare(QLatin1String("pk = :pk AND begins_with(sk, :prefix)"),
                                       Qt::CaseInsensitive) == 0;
    if (range.pk.isEmpty() || (!prefixed && text != QLatin1String("pk = :pk")))
    {
        return invalid("Invalid KeyConditionExpression");
    }
    if (prefixed)
    {
        range.prefix = values[QLatin1String(":prefix")][QLatin1String("S")].toString();
    }
    if (body.contains(QLatin1String("ExclusiveStartKey")))
    {
        BOOST_OUTCOME_TRY(after, parse_key(body[QLatin1String("ExclusiveStartKey")].toObject()));
        range.after = after;
    }
    return range;
}

table_result<operation> parse_target(const QByteArray& target)
{
    for (const operation one : operations)
    {
        if (target == QByteArray("DynamoDB_20120810.") + name(one))
        {
            return one;
        }
    }
    return table_error{.type = "UnknownOperationException", .message = "No such operation"};
}

table_result<void> parse_body(table_request& request)
{
    switch (request.what)
    {
    case operation::get_item:
    {
        BOOST_OUTCOME_TRY(key, parse_key(request.body[QLatin1String("Key")].toObject()));
        request.key = key;
        return check_table(request.body);
    }
    case operation::query:
    {
        BOOST_OUTCOME_TRY(range, parse_range(request.body));
        request.range = std::move(range);
        return check_table(request.body);
    }
    case operation::put_item:
    case operation::delete_item:
    {
        const auto kind =
            request.what == operation::put_item ? write::kind::put : write::kind::erase;
        BOOST_OUTCOME_TRY(one, parse_write(kind, request.body));
        request.writes.push_back(std::move(one));
        break;
    }
    case operation::transact_write_items:
    {
        BOOST_OUTCOME_TRY(writes, parse_transaction(request.body));
        request.writes = std::move(writes);
        request.token = request.body[QLatin1String("ClientRequestToken")].toString();
        break;
    }
    }
    return boost::outcome_v2::success();
}

}  // namespace

const char* name(operation what)
{
    switch (what)
    {
    case operation::get_item:
        return "GetItem";
    case operation::put_item:
        return "PutItem";
    case operation::delete_item:
        return "DeleteItem";
    case operation::query:
        return "Query";
    case operation::transact_write_items:
        return "TransactWriteItems";
    }
    return "";
}

bool table_request::is_write() const
{
    return !writes.empty();
}

table_result<table_request> parse_table_request(const QByteArray& target, const QByteArray& body)
{
    BOOST_OUTCOME_TRY(what, parse_target(target));
    const auto object = standin::parse_object(body);
    if (!object)
    {
        return table_error{.type = "SerializationException", .message = "Not a JSON object"};
    }
    table_request request;
    request.what = what;
    request.body = *object;
    BOOST_OUTCOME_TRYV(parse_body(request));
    return request;
}

QJsonObject key_attributes(const item_key& key)
{
    return {{QStringLiteral("pk"), QJsonObject{{QStringLiteral("S"), key.pk}}},
            {QStringLiteral("sk"), QJsonObject{{QStringLiteral("S"), key.sk}}}};
}

item_key key_of(const item& attributes)
{
    return {.pk = attributes[QLatin1String("pk")][QLatin1String("S")].toString(),
            .sk = attributes[QLatin1String("sk")][QLatin1String("S")].toString()};
}

}  // namespace standin_platform
