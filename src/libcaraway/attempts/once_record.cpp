#include "libcaraway/attempts/once_record.hpp"

#include <QByteArray>
#include <QByteArrayView>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <array>
#include <optional>
#include <utility>

namespace caraway::attempts
{

namespace
{

constexpr const char* claim_sort_key = "claim";

const QString attempt_key = QStringLiteral("attempt");
const QString state_key = QStringLiteral("state");
const QString fingerprint_key = QStringLiteral("fingerprint");
const QString started_key = QStringLiteral("started_at_ms");
const QString status_key = QStringLiteral("status");
const QString hash_key = QStringLiteral("answer_hash");
const QString content_type_key = QStringLiteral("content_type");
const QString body_key = QStringLiteral("body");

struct state_name
{
    once_state state;
    const char* name;
};

constexpr std::array<state_name, 4> state_names{{
    {once_state::started, "started"},
    {once_state::finished, "finished"},
    {once_state::unknown, "unknown"},
    {once_state::released, "released"},
}};

const char* name(once_state state)
{
    for (const auto& row : state_names)
    {
        if (row.state == state)
        {
            return row.name;
        }
    }
    return "unknown";
}

std::optional<once_state> parse_state(const std::string& text)
{
    for (const auto& row : state_names)
    {
        if (text == row.name)
        {
            return row.state;
        }
    }
    return std::nullopt;
}

QByteArrayView view(std::string_view bytes)
{
    return {bytes.data(), static_cast<qsizetype>(bytes.size())};
}

std::string string_at(const QJsonObject& object, const QString& key)
{
    return object.value(key).toString().toStdString();
}

}  // namespace

row_key once_row_key(const base::workspace_id& workspace, std::string_view key)
{
    return {.pk = "once#" + workspace.str() + '#' + sha256(key), .sk = claim_sort_key};
}

config::sha256_hex once_fingerprint(const base::workspace_id& workspace, std::string_view method,
                                    std::string_view path, std::string_view body)
{
    return sha256({workspace.str(), method, path, body});
}

std::string to_json(const once_record& record)
{
    QJsonObject object{
        {attempt_key, QString::fromStdString(to_text(record.holder))},
        {state_key, QString::fromLatin1(name(record.state))},
        {fingerprint_key, QString::fromStdString(record.fingerprint)},
        {started_key, qint64{record.started_at_ms}},
    };
    if (record.state == once_state::finished)
    {
        object.insert(status_key, record.status);
        object.insert(hash_key, QString::fromStdString(record.answer_hash));
        object.insert(content_type_key, QString::fromStdString(record.content_type));
    }
    if (record.has_body)
    {
        const auto body = QByteArray::fromStdString(record.body).toBase64();
        object.insert(body_key, QString::fromLatin1(body));
    }
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

base::result<once_record> parse_once_record(std::string_view json)
{
    const auto document = QJsonDocument::fromJson(view(json).toByteArray());
    const auto object = document.object();
    const auto holder = parse_attempt_id(string_at(object, attempt_key));
    const auto state = parse_state(string_at(object, state_key));
    if (!holder || !state || !object.value(fingerprint_key).isString())
    {
        return base::make_error(base::errc::corrupt,
                                "record of an idempotency key is malformed: attempt, state or "
                                "fingerprint is missing or invalid");
    }
    once_record record{.holder = *holder,
                       .state = *state,
                       .fingerprint = string_at(object, fingerprint_key),
                       .started_at_ms = object.value(started_key).toInteger(),
                       .status = static_cast<std::uint16_t>(object.value(status_key).toInt()),
                       .answer_hash = string_at(object, hash_key),
                       .content_type = string_at(object, content_type_key),
                       .body = {},
                       .has_body = object.contains(body_key)};
    record.body =
        QByteArray::fromBase64(object.value(body_key).toString().toLatin1()).toStdString();
    return record;
}

}  // namespace caraway::attempts
