#include "caraway_load/report/calls_json.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace caraway_load::report
{

namespace
{

QJsonValue or_null(const std::optional<double>& value)
{
    return value ? QJsonValue(*value) : QJsonValue(QJsonValue::Null);
}

const char* name(calls::attempt_end end)
{
    switch (end)
    {
    case calls::attempt_end::unfinished:
        return "unfinished";
    case calls::attempt_end::answered:
        return "answered";
    case calls::attempt_end::refused:
        return "refused";
    case calls::attempt_end::broken:
        return "broken";
    }
    return "unfinished";
}

QJsonObject to_json(const calls::attempt_record& attempt)
{
    return {{"router", static_cast<qint64>(attempt.router)},
            {"sent_s", attempt.sent_s},
            {"first_byte_s", or_null(attempt.first_byte_s)},
            {"ended_s", or_null(attempt.ended_s)},
            {"end", name(attempt.end)},
            {"status", attempt.status},
            {"id", QString::fromStdString(attempt.id)},
            {"code", QString::fromStdString(attempt.code)},
            {"tokens_came", static_cast<qint64>(attempt.token_s.size())}};
}

QJsonObject to_json(const calls::call_record& call)
{
    QJsonArray attempts;
    for (const auto& attempt : call.attempts)
    {
        attempts.append(to_json(attempt));
    }
    return {{"number", static_cast<qint64>(call.asked.number)},
            {"at_s", call.asked.at_s},
            {"workspace", static_cast<qint64>(call.asked.workspace)},
            {"plain", call.asked.kind == workload::call_kind::plain},
            {"tokens", static_cast<qint64>(call.asked.tokens)},
            {"max_tokens", static_cast<qint64>(call.asked.max_tokens)},
            {"streamed", call.asked.streamed},
            {"router", static_cast<qint64>(call.asked.router)},
            {"over", call.over},
            {"fault", calls::name(call.fault)},
            {"attempts", attempts}};
}

}  // namespace

QByteArray calls_to_json_lines(const run::run_log& log)
{
    QByteArray lines;
    for (const auto& call : log.calls)
    {
        lines += QJsonDocument(to_json(call)).toJson(QJsonDocument::Compact) + '\n';
    }
    return lines;
}

}  // namespace caraway_load::report
