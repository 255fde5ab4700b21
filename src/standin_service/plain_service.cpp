#include "standin_service/plain_service.hpp"

#include "libstandin/json.hpp"

#include <QCryptographicHash>

namespace standin_service
{

namespace
{

/// A caller may say how long its own call takes.
constexpr const char* work_header = "X-Work-Ms";

QByteArray switched_error(int status)
{
    return standin::to_json({{QStringLiteral("error"), status}});
}

}  // namespace

plain_service::plain_service(const service_options& options)
    : options_(options), server_([this](const call_ptr& call) { handle(call); })
{
    faults_.add_to(switches_);
    switches_.add("cut_body", &cut_body_).add("work_ms", &options_.work_ms).add("stall", &stall_);
}

standin::http_server& plain_service::server()
{
    return server_;
}

void plain_service::handle(const call_ptr& call)
{
    const QByteArray& path = call->request().path;
    if (path == "/_stats")
    {
        call->respond(standin::json_answer(stats()));
    }
    else if (path == "/_control")
    {
        control(*call);
    }
    else if (!faults_.refuse(*call, switched_error))
    {
        accept(call);
    }
}

void plain_service::accept(const call_ptr& call)
{
    call->hold(std::chrono::milliseconds(faults_.late_ms));
    waiting_.push_back(call);
    fill_slots();
}

void plain_service::fill_slots()
{
    while (!waiting_.empty() && running_ < options_.slots)
    {
        const call_ptr call = std::move(waiting_.front());
        waiting_.pop_front();
        run(call);
    }
}

void plain_service::run(const call_ptr& call)
{
    ++running_;
    const int number = log_.run(call->request());
    const QByteArray asked = call->request().header(work_header);
    const std::chrono::milliseconds work(asked.isEmpty() ? options_.work_ms : asked.toInt());
    QTimer::singleShot(work, Qt::PreciseTimer, &timers_,
                       [this, call, number] { complete(call, number); });
}

void plain_service::complete(const call_ptr& call, int run)
{
    if (stall_)
    {
        stalled_.emplace_back(call, run);
        return;
    }
    --running_;
    respond(*call, run);
    fill_slots();
}

void plain_service::complete_stalled()
{
    for (const auto& [call, run] : std::exchange(stalled_, {}))
    {
        complete(call, run);
    }
}

void plain_service::respond(standin::exchange& call, int run)
{
    if (faults_.lose_answer(call))
    {
        return;
    }
    const auto& request = call.request();
    const QByteArray hash =
        QCryptographicHash::hash(request.body, QCryptographicHash::Sha256).toHex();
    const auto answer =
        standin::json_answer({{QStringLiteral("service"), QString::fromStdString(options_.id)},
                              {QStringLiteral("path"), QString::fromUtf8(request.path)},
                              {QStringLiteral("query"), QString::fromUtf8(request.query)},
                              {QStringLiteral("method"), QString::fromUtf8(request.method)},
                              {QStringLiteral("run"), run},
                              {QStringLiteral("body_sha256"), QString::fromUtf8(hash)}});
    if (standin::strikes(cut_body_))
    {
        call.respond_cut(answer);
        return;
    }
    if (call.open())
    {
        log_.answered(request);
    }
    call.respond(answer);
}

void plain_service::control(standin::exchange& call)
{
    standin::answer_control(call, switches_,
                            [this, &call]
                            {
                                standin::apply_connection_faults(faults_, server_, call);
                                complete_stalled();
                            });
}

QJsonObject plain_service::stats() const
{
    return {{QStringLiteral("id"), QString::fromStdString(options_.id)},
            {QStringLiteral("slots"), options_.slots},
            {QStringLiteral("running"), running_},
            {QStringLiteral("waiting"), static_cast<int>(waiting_.size())},
            {QStringLiteral("total_runs"), log_.total_runs()},
            {QStringLiteral("calls"), log_.show()}};
}

}  // namespace standin_service
