#include "libcaraway/net/platform_codec.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QString>

#include <algorithm>
#include <utility>

namespace caraway::net::platform_codec
{

namespace
{

using base::errc;
using base::make_error;

constexpr const char* table_name = "caraway";

QString text(const std::string& value)
{
    return QString::fromStdString(value);
}

QByteArray bytes(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

QJsonObject string_value(const std::string& value)
{
    return {{"S", text(value)}};
}

QJsonObject number_value(row_revision rev)
{
    return {{"N", QString::number(static_cast<std::uint64_t>(rev))}};
}

QJsonObject key_of(const std::string& pk, const std::string& sk)
{
    return {{"pk", string_value(pk)}, {"sk", string_value(sk)}};
}

QJsonObject item_of(const platform_row& row, row_revision rev)
{
    QJsonObject item = key_of(row.pk, row.sk);
    item["rev"] = number_value(rev);
    item["body"] = string_value(bytes(row.body).toStdString());
    return item;
}

void add_condition(QJsonObject& request, const write_condition& condition)
{
    switch (condition.what)
    {
    case write_condition::kind::none:
        return;
    case write_condition::kind::absent:
        request["ConditionExpression"] = "attribute_not_exists(pk)";
        return;
    case write_condition::kind::at_revision:
        request["ConditionExpression"] = "rev = :rev";
        request["ExpressionAttributeValues"] = QJsonObject{{":rev", number_value(condition.rev)}};
        return;
    }
}

QJsonObject put_request(const platform_row& row, const write_condition& condition)
{
    QJsonObject request{{"TableName", table_name},
                        {"Item", item_of(row, written_revision(row, condition))}};
    add_condition(request, condition);
    return request;
}

QJsonObject remove_request(const platform_row& row, const write_condition& condition)
{
    QJsonObject request{{"TableName", table_name}, {"Key", key_of(row.pk, row.sk)}};
    add_condition(request, condition);
    return request;
}

base::result<QJsonObject> parse(const QByteArray& answer)
{
    const QJsonDocument document = QJsonDocument::fromJson(answer);
    if (!document.isObject())
    {
        return make_error(errc::corrupt, "the platform's answer is not a JSON object");
    }
    return document.object();
}

/// Reads one typed attribute of an item, as in {"S": "text"}.
std::optional<QString> attribute(const QJsonObject& item, const char* name, const char* type)
{
    const QJsonValue value = item[QLatin1String(name)].toObject()[QLatin1String(type)];
    if (!value.isString())
    {
        return std::nullopt;
    }
    return value.toString();
}

base::result<platform_row> decode_item(const QJsonObject& item)
{
    const auto pk = attribute(item, "pk", "S");
    const auto sk = attribute(item, "sk", "S");
    const auto rev = attribute(item, "rev", "N");
    const auto body = attribute(item, "body", "S");
    bool is_number = false;
    const qulonglong number = rev ? rev->toULongLong(&is_number) : 0;
    const QJsonDocument document = body ? QJsonDocument::fromJson(body->toUtf8()) : QJsonDocument();
    if (!pk || !sk || !is_number || !document.isObject())
    {
        return make_error(errc::corrupt, "a row of the table is not in our format");
    }
    return platform_row{.pk = pk->toStdString(),
                        .sk = sk->toStdString(),
                        .rev = row_revision{number},
                        .body = document.object()};
}

base::result<vm> decode_vm(const QJsonObject& entry)
{
    const QString state = entry["state"].toString();
    vm result{.id = vm_id(entry["id"].toString().toStdString()),
              .address = entry["address"].toString().toStdString(),
              .zone = base::zone_id(entry["zone"].toString().toStdString()),
              .leaving = state == QLatin1String("leaving")};
    if (result.id.empty() || result.address.empty() ||
        (!result.leaving && state != QLatin1String("live")))
    {
        return make_error(errc::corrupt, "an entry of the VM list is not in the published format");
    }
    return result;
}

bool has_reason(const QJsonArray& reasons, const char* code)
{
    return std::any_of(reasons.begin(), reasons.end(),
                       [code](const QJsonValue& reason)
                       { return reason.toObject()["Code"].toString() == QLatin1String(code); });
}

/// A cancelled transaction had no effect at all; the reasons tell whether trying again can help.
errc cancelled(const QJsonObject& answer)
{
    const QJsonArray reasons = answer["CancellationReasons"].toArray();
    const bool busy = has_reason(reasons, "ThrottlingError") ||
                      has_reason(reasons, "TransactionConflict") ||
                      has_reason(reasons, "ProvisionedThroughputExceeded");
    const bool failed = has_reason(reasons, "ConditionalCheckFailed");
    return busy && !failed ? errc::unavailable : errc::conflict;
}

errc refused(const QJsonObject& answer, const QString& type)
{
    static const std::pair<const char*, errc> known[] = {
        {"ConditionalCheckFailedException", errc::conflict},
        {"TransactionConflictException", errc::unavailable},
        {"ProvisionedThroughputExceededException", errc::unavailable},
        {"ThrottlingException", errc::unavailable},
        {"RequestLimitExceeded", errc::unavailable},
        // An earlier sending of the same token is still at work.
        {"TransactionInProgressException", errc::unknown_effect},
    };
    if (type == QLatin1String("TransactionCanceledException"))
    {
        return cancelled(answer);
    }
    for (const auto& [name, code] : known)
    {
        if (type == QLatin1String(name))
        {
            return code;
        }
    }
    return errc::invalid_argument;
}

}  // namespace

QByteArray encode_get(const std::string& pk, const std::string& sk)
{
    return bytes({{"TableName", table_name}, {"Key", key_of(pk, sk)}, {"ConsistentRead", true}});
}

QByteArray encode_query(const std::string& pk, const std::string& sk_prefix,
                        const std::optional<QJsonObject>& start)
{
    QString expression = "pk = :pk";
    QJsonObject values{{":pk", string_value(pk)}};
    if (!sk_prefix.empty())
    {
        expression += " AND begins_with(sk, :prefix)";
        values[":prefix"] = string_value(sk_prefix);
    }
    QJsonObject request{{"TableName", table_name},
                        {"KeyConditionExpression", expression},
                        {"ExpressionAttributeValues", values},
                        {"ConsistentRead", true}};
    if (start)
    {
        request["ExclusiveStartKey"] = *start;
    }
    return bytes(request);
}

QByteArray encode_put(const platform_row& row, const write_condition& condition)
{
    return bytes(put_request(row, condition));
}

QByteArray encode_remove(const platform_row& row, const write_condition& condition)
{
    return bytes(remove_request(row, condition));
}

QByteArray encode_transact(const std::vector<platform_write>& writes, const std::string& token)
{
    QJsonArray items;
    for (const platform_write& write : writes)
    {
        if (write.what == platform_write::kind::put)
        {
            items.append(QJsonObject{{"Put", put_request(write.row, write.condition)}});
        }
        else
        {
            items.append(QJsonObject{{"Delete", remove_request(write.row, write.condition)}});
        }
    }
    return bytes({{"TransactItems", items}, {"ClientRequestToken", text(token)}});
}

row_revision written_revision(const platform_row& row, const write_condition& condition)
{
    switch (condition.what)
    {
    case write_condition::kind::none:
        return row_revision{static_cast<std::uint64_t>(row.rev) + 1};
    case write_condition::kind::absent:
        return row_revision{1};
    case write_condition::kind::at_revision:
        return row_revision{static_cast<std::uint64_t>(condition.rev) + 1};
    }
    return row_revision{1};
}

base::result<platform_row> decode_get(const QByteArray& answer)
{
    BOOST_OUTCOME_TRY(object, parse(answer));
    if (!object.contains("Item"))
    {
        return make_error(errc::not_found, "no such row");
    }
    return decode_item(object.value("Item").toObject());
}

base::result<query_page> decode_query(const QByteArray& answer)
{
    BOOST_OUTCOME_TRY(object, parse(answer));
    if (!object.value("Items").isArray())
    {
        return make_error(errc::corrupt, "the answer to a query holds no items");
    }
    query_page page;
    for (const auto& item : object.value("Items").toArray())
    {
        BOOST_OUTCOME_TRY(row, decode_item(item.toObject()));
        page.rows.push_back(std::move(row));
    }
    if (object.value("LastEvaluatedKey").isObject())
    {
        page.next = object.value("LastEvaluatedKey").toObject();
    }
    return page;
}

base::result<vm_list> decode_vms(const QByteArray& answer)
{
    BOOST_OUTCOME_TRY(object, parse(answer));
    if (!object.value("vms").isArray())
    {
        return make_error(errc::corrupt, "the VM list holds no VMs");
    }
    vm_list list{.vms = {},
                 .as_of = object.value("as_of").toString().toStdString(),
                 .answer_bytes = static_cast<std::size_t>(answer.size())};
    for (const auto& entry : object.value("vms").toArray())
    {
        BOOST_OUTCOME_TRY(machine, decode_vm(entry.toObject()));
        list.vms.push_back(std::move(machine));
    }
    return list;
}

base::error decode_error(int status, const QByteArray& answer, bool write)
{
    constexpr int bad_request = 400;
    constexpr int not_found = 404;
    constexpr int too_many = 429;
    constexpr int server_error = 500;
    constexpr int service_unavailable = 503;

    const std::string told = "the platform answered " + std::to_string(status);
    if (status == service_unavailable || status == too_many)
    {
        return make_error(errc::unavailable, told);
    }
    if (status == not_found && !write)
    {
        return make_error(errc::not_found, told);
    }
    if (status == bad_request)
    {
        const QJsonObject object = QJsonDocument::fromJson(answer).object();
        const QString type = object.value("__type").toString().section(QLatin1Char('#'), -1);
        if (!type.isEmpty())
        {
            return make_error(refused(object, type), told + " " + type.toStdString());
        }
    }
    // An error inside the platform, or an answer that isn't the platform's: a write may have been
    // carried out before it failed.
    if (write)
    {
        return make_error(errc::unknown_effect, told);
    }
    return make_error(status >= server_error ? errc::unavailable : errc::corrupt, told);
}

}  // namespace caraway::net::platform_codec
