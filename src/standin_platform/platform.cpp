#include "standin_platform/platform.hpp"

#include "libstandin/json.hpp"

namespace standin_platform
{

namespace
{

const QString table_key = QStringLiteral("table");
const QString object_key = QStringLiteral("object");
const QString vms_key = QStringLiteral("vms");
const QString list_key = QStringLiteral("list");
const QString lag_key = QStringLiteral("vm_list_lag_ms");

/// The list within a change of the VM list's switches, or nothing.
std::optional<QJsonArray> list_in(const QJsonValue& change)
{
    if (change.isArray())
    {
        return change.toArray();
    }
    if (change[list_key].isArray())
    {
        return change[list_key].toArray();
    }
    return std::nullopt;
}

QJsonObject without_list(const QJsonValue& change)
{
    QJsonObject switches = change.toObject();
    switches.remove(list_key);
    return switches;
}

}  // namespace

platform::platform(std::chrono::milliseconds token_lifetime)
    : table_(clock_, token_lifetime), objects_(clock_), vms_(clock_),
      server_([this](const service_gate::call_ptr& call) { handle(call); })
{
}

standin::http_server& platform::server()
{
    return server_;
}

vm_list& platform::vms()
{
    return vms_;
}

void platform::handle(const service_gate::call_ptr& call)
{
    const auto& request = call->request();
    if (request.path == "/_control")
    {
        control(*call);
    }
    else if (request.path == "/" && request.method == "POST")
    {
        table_.handle(call);
    }
    else if (request.path == "/vms")
    {
        vms_.handle(call);
    }
    else
    {
        objects_.handle(call);
    }
}

void platform::control(standin::exchange& call)
{
    if (call.request().method == "POST")
    {
        const auto change = standin::parse_object(call.request().body);
        const auto fault = change ? check(*change) : QStringLiteral("not a JSON object");
        if (fault)
        {
            call.respond(standin::json_answer({{QStringLiteral("error"), *fault}}, 400));
            return;
        }
        apply(*change);
    }
    call.respond(standin::json_answer(show()));
}

std::optional<QString> platform::check(const QJsonObject& change)
{
    for (const QString& key : change.keys())
    {
        std::optional<QString> fault;
        if (key == table_key)
        {
            fault = table_.gate().switches().check(change[key].toObject());
        }
        else if (key == object_key)
        {
            fault = objects_.gate().switches().check(change[key].toObject());
        }
        else if (key == vms_key)
        {
            fault = check_vms(change[key]);
        }
        else if (key != lag_key || !change[key].isDouble())
        {
            fault = key + QStringLiteral(": no such switch, or wrong type of value");
        }
        if (fault)
        {
            return fault;
        }
    }
    return std::nullopt;
}

std::optional<QString> platform::check_vms(const QJsonValue& change)
{
    if (const auto list = list_in(change))
    {
        if (auto fault = vm_list::check(*list))
        {
            return fault;
        }
    }
    return vms_.gate().switches().check(without_list(change));
}

void platform::apply(const QJsonObject& change)
{
    table_.gate().switches().apply(change[table_key].toObject());
    objects_.gate().switches().apply(change[object_key].toObject());
    vms_.gate().switches().apply(without_list(change[vms_key]));
    if (change.contains(lag_key))
    {
        vms_.set_lag(std::chrono::milliseconds(change[lag_key].toInt()));
    }
    if (const auto list = list_in(change[vms_key]))
    {
        vms_.set(*list);
    }
}

QJsonObject platform::show()
{
    QJsonObject vms = vms_.gate().switches().show();
    vms[list_key] = vms_.newest();
    return {{table_key, table_.gate().switches().show()},
            {object_key, objects_.gate().switches().show()},
            {vms_key, vms},
            {lag_key, static_cast<int>(vms_.lag().count())},
            {QStringLiteral("counters"), QJsonObject{{table_key, table_.gate().counters()},
                                                     {object_key, objects_.gate().counters()},
                                                     {vms_key, vms_.gate().counters()}}}};
}

}  // namespace standin_platform
