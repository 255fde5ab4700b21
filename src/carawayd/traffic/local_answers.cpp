#include "carawayd/traffic/local_answers.hpp"

#include "carawayd/traffic/call_plan.hpp"
#include "carawayd/traffic/routing_view.hpp"
#include "libcaraway/membership/entry_list.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <QUrlQuery>

#include <algorithm>
#include <utility>

namespace carawayd::traffic
{

using caraway::net::http_request;
using caraway::net::http_response;

namespace
{

http_response json_response(int status, const QJsonObject& body)
{
    return {.status = status,
            .headers = {{"Content-Type", "application/json"}},
            .body = QJsonDocument(body).toJson(QJsonDocument::Compact)};
}

http_response error_answer(const caraway::attempts::caller_error& error)
{
    return {.status = caraway::attempts::http_status(error.code),
            .headers = {{"Content-Type", "application/json"}},
            .body = QByteArray::fromStdString(
                caraway::attempts::to_json(error, caraway::base::request_id()))};
}

QJsonObject describe(const caraway::membership::entry_address& entry)
{
    return {{"address", QString::fromStdString(entry.address.host)},
            {"port", entry.address.port},
            {"zone", QString::fromStdString(entry.zone.str())},
            {"url", QString("http://%1:%2")
                        .arg(QString::fromStdString(entry.address.host))
                        .arg(entry.address.port)}};
}

}  // namespace

http_response entry_answer(const routing_view& view, const http_request& request,
                           caraway::base::time_point now,
                           const std::function<std::uint64_t()>& random)
{
    const QUrlQuery query(QString::fromStdString(request.query));
    const std::string named = query.queryItemValue("zone").toStdString();
    const caraway::base::zone_id zone = named.empty() ? view.zone : caraway::base::zone_id(named);
    const auto chosen = caraway::membership::choose_entries(
        {.lifetime = view.entry_lifetime, .random = random}, view.members, zone, view.region, now);
    QJsonArray addresses;
    for (const auto& entry : chosen.addresses)
    {
        addresses.append(describe(entry));
    }
    const auto keep = std::chrono::milliseconds(chosen.lifetime).count();
    return json_response(200, {{"addresses", addresses}, {"keep_ms", static_cast<qint64>(keep)}});
}

http_response models_answer(const routing_view& view, const http_request& request)
{
    const auto who = authenticate(view, request);
    if (const auto* problem = std::get_if<caraway::attempts::caller_error>(&who))
    {
        return error_answer(*problem);
    }
    const auto& content = view.configuration->content;
    const auto& allowed =
        content.workspaces.at(std::get<caraway::base::workspace_id>(who)).services;
    QJsonArray models;
    for (const auto& [id, service] : content.services)
    {
        const bool may =
            allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
        if (service.kind == caraway::config::service_kind::model && may)
        {
            models.append(QJsonObject{{"id", QString::fromStdString(id.str())},
                                      {"object", "model"},
                                      {"created", 0},
                                      {"owned_by", "carawaycroft"}});
        }
    }
    return json_response(200, {{"object", "list"}, {"data", models}});
}

}  // namespace carawayd::traffic
