#include "libstandin/call_faults.hpp"

#include "libstandin/http_server.hpp"

namespace standin
{

bool strikes(int& remaining)
{
    if (remaining == 0)
    {
        return false;
    }
    if (remaining > 0)
    {
        --remaining;
    }
    return true;
}

void call_faults::add_to(control_fields& fields)
{
    fields.add("close_after_read", &close_after_read)
        .add("reset_after_read", &reset_after_read)
        .add("late_ms", &late_ms)
        .add("status", &status)
        .add("status_count", &status_count)
        .add("retry_after_s", &retry_after_s)
        .add("redirect", &redirect)
        .add("silent_accept", &silent_accept)
        .add("silence_open", &silence_open);
}

bool call_faults::refuse(exchange& call, const std::function<QByteArray(int)>& error_body)
{
    if (status != 0 && strikes(status_count))
    {
        answer refusal{.status = status, .body = error_body(status)};
        if (retry_after_s > 0)
        {
            refusal.headers.push_back({"Retry-After", QByteArray::number(retry_after_s)});
        }
        call.respond(refusal);
        return true;
    }
    if (redirect == 0)
    {
        return false;
    }
    const QByteArray host = call.request().header("Host").split(':').front();
    const QByteArray location =
        "http://" + host + ':' + QByteArray::number(redirect) + call.request().path;
    call.respond({.status = 307, .headers = {{"Location", location}}});
    return true;
}

bool call_faults::lose_answer(exchange& call)
{
    if (strikes(close_after_read))
    {
        call.close();
        return true;
    }
    if (strikes(reset_after_read))
    {
        call.reset();
        return true;
    }
    return false;
}

void apply_connection_faults(call_faults& faults, http_server& server, const exchange& asking)
{
    server.set_silent_accept(faults.silent_accept);
    if (std::exchange(faults.silence_open, false))
    {
        server.silence_open_connections(asking);
    }
}

}  // namespace standin
