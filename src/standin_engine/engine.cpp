#include "standin_engine/engine.hpp"

#include "libstandin/json.hpp"

#include <QJsonArray>

namespace standin_engine
{

namespace
{

using standin::json_answer;

/// An error in the format of OpenAI's interface.
QByteArray error_body(int status, const QString& message)
{
    const bool ours = status >= 500;
    return standin::to_json(
        {{QStringLiteral("error"),
          QJsonObject{{QStringLiteral("message"), message},
                      {QStringLiteral("type"), ours ? QStringLiteral("server_error")
                                                    : QStringLiteral("invalid_request_error")},
                      {QStringLiteral("param"), QJsonValue::Null},
                      {QStringLiteral("code"), status}}}});
}

QByteArray switched_error(int status)
{
    return error_body(status, QStringLiteral("The engine was told to answer so."));
}

void respond_error(standin::exchange& call, int status, const QString& message)
{
    call.respond({.status = status, .body = error_body(status, message)});
}

QByteArray metric(const QByteArray& name, const QByteArray& type, const QByteArray& model,
                  double value)
{
    return "# TYPE " + name + ' ' + type + '\n' + name + "{model_name=\"" + model + "\"} " +
           QByteArray::number(value, 'g', 15) + '\n';
}

}  // namespace

engine::engine(const engine_options& options)
    : options_(options), batch_(options, clock_, faults_),
      server_([this](const call_ptr& call) { handle(call); })
{
    faults_.add_to(switches_);
    switches_.add("checks_fencing", &options_.checks_fencing);
}

standin::http_server& engine::server()
{
    return server_;
}

void engine::handle(const call_ptr& call)
{
    const QByteArray& path = call->request().path;
    if (path == "/v1/chat/completions" || path == "/v1/completions")
    {
        generate(path == "/v1/completions" ? endpoint::text : endpoint::chat, call);
    }
    else if (path == "/v1/models")
    {
        call->respond(json_answer(models()));
    }
    else if (path == "/health")
    {
        call->respond({});
    }
    else if (path == "/load")
    {
        call->respond(json_answer(load()));
    }
    else if (path == "/metrics")
    {
        call->respond({.content_type = "text/plain; version=0.0.4", .body = metrics()});
    }
    else if (path == "/orders")
    {
        take_order(*call);
    }
    else if (path == "/_stats")
    {
        call->respond(json_answer(stats()));
    }
    else if (path == "/_control")
    {
        control(*call);
    }
    else
    {
        respond_error(*call, 404, QStringLiteral("Not Found"));
    }
}

void engine::generate(endpoint kind, const call_ptr& call)
{
    if (faults_.call.refuse(*call, switched_error))
    {
        return;
    }
    auto request = parse_generation(kind, call->request());
    if (!request)
    {
        respond_error(*call, 400, QString::fromStdString(request.error().message));
        return;
    }
    if (request.value().model != options_.model.c_str())
    {
        respond_error(*call, 404, QStringLiteral("The model does not exist."));
        return;
    }
    call->hold(std::chrono::milliseconds(faults_.call.late_ms));
    const QByteArray& request_id = request.value().request_id;
    if (faults_.call.lose_answer(*call))
    {
        batch_.log().add(request_id, {.received = 1, .started = 1});
        return;
    }
    const QByteArray name = request_id.isEmpty() ? QByteArray::number(++generations_) : request_id;
    batch_.submit(std::make_shared<generation>(
        call, std::move(request.value()), (kind == endpoint::chat ? "chatcmpl-" : "cmpl-") + name));
}

void engine::take_order(standin::exchange& call)
{
    if (call.request().method == "GET")
    {
        call.respond(json_answer(orders_.current()));
        return;
    }
    const auto order = standin::parse_object(call.request().body);
    if (!order || !(*order)[QLatin1String("fence")].isDouble() ||
        !(*order)[QLatin1String("state")].isObject())
    {
        respond_error(call, 400, QStringLiteral("An order has a number `fence` and a `state`."));
        return;
    }
    if (!orders_.submit((*order)[QLatin1String("fence")].toDouble(),
                        (*order)[QLatin1String("state")].toObject(), options_.checks_fencing))
    {
        respond_error(call, 409, QStringLiteral("The fencing number is out of date."));
        return;
    }
    call.respond(json_answer(orders_.current()));
}

void engine::control(standin::exchange& call)
{
    standin::answer_control(call, switches_,
                            [this, &call]
                            { standin::apply_connection_faults(faults_.call, server_, call); });
}

QJsonObject engine::models() const
{
    const QJsonObject model{{QStringLiteral("id"), QString::fromStdString(options_.model)},
                            {QStringLiteral("object"), QStringLiteral("model")},
                            {QStringLiteral("created"), 0},
                            {QStringLiteral("owned_by"), QStringLiteral("standin")}};
    return {{QStringLiteral("object"), QStringLiteral("list")},
            {QStringLiteral("data"), QJsonArray{model}}};
}

QJsonObject engine::load()
{
    const auto reported = batch_.meter().reported();
    return {{QStringLiteral("running"), reported.running},
            {QStringLiteral("waiting"), reported.waiting},
            {QStringLiteral("slots"), options_.slots},
            {QStringLiteral("as_of_ms"), batch_.meter().reported_at_ms()}};
}

QByteArray engine::metrics()
{
    const QByteArray model = QByteArray::fromStdString(options_.model);
    const auto reported = batch_.meter().reported();
    const auto& total = batch_.log().total();
    return metric("vllm:num_requests_running", "gauge", model, reported.running) +
           metric("vllm:num_requests_waiting", "gauge", model, reported.waiting) +
           metric("vllm:generation_tokens_total", "counter", model, total.tokens) +
           metric("vllm:request_success_total", "counter", model, total.finished) +
           metric("vllm:prefix_cache_hits_total", "counter", model, batch_.cache().hits());
}

QJsonObject engine::stats()
{
    const auto now = batch_.meter().current();
    return {{QStringLiteral("id"), QString::fromStdString(options_.id)},
            {QStringLiteral("model"), QString::fromStdString(options_.model)},
            {QStringLiteral("slots"), options_.slots},
            {QStringLiteral("running"), now.running},
            {QStringLiteral("waiting"), now.waiting},
            {QStringLiteral("uptime_ms"), batch_.meter().uptime_ms()},
            {QStringLiteral("busy_slot_ms"), batch_.meter().busy_ms()},
            {QStringLiteral("waiting_ms"), batch_.meter().waiting_ms()},
            {QStringLiteral("prefix_hits"), batch_.cache().hits()},
            {QStringLiteral("prefix_misses"), batch_.cache().misses()},
            {QStringLiteral("totals"), batch_.log().totals()},
            {QStringLiteral("requests"), batch_.log().by_request()},
            {QStringLiteral("orders"), orders_.history()}};
}

}  // namespace standin_engine
