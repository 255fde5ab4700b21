#include "carawayd/admin/change_json.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QString>

namespace carawayd::admin
{

namespace
{

template <class Record>
QJsonObject record_json(const Record& record)
{
    return QJsonDocument::fromJson(caraway::config::to_json(record)).object();
}

}  // namespace

QJsonObject to_json(const caraway::config::acceptance_result& result)
{
    QJsonObject change = record_json(result.change);
    change["approvals_counted"] = static_cast<qint64>(result.approvals);
    change["approvals_required"] = static_cast<qint64>(result.required);
    if (result.accepted_version)
    {
        change["version"] = static_cast<qint64>(*result.accepted_version);
    }
    return change;
}

QJsonObject changes_json(const std::vector<caraway::config::change_record>& changes)
{
    QJsonArray list;
    for (const auto& change : changes)
    {
        list.append(record_json(change));
    }
    return {{"changes", list}};
}

QJsonObject log_json(const std::vector<caraway::config::log_record>& log)
{
    QJsonArray list;
    for (const auto& entry : log)
    {
        list.append(record_json(entry));
    }
    return {{"versions", list}};
}

QJsonObject document_json(caraway::base::config_version version,
                          const caraway::config::sha256_hex& hash, const QByteArray& bytes)
{
    return {{"version", static_cast<qint64>(version)},
            {"hash", QString::fromStdString(hash)},
            {"document", QString::fromLatin1(bytes.toBase64())}};
}

}  // namespace carawayd::admin
