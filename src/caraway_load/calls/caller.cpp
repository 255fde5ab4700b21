#include "caraway_load/calls/caller.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace caraway_load::calls
{

namespace
{

constexpr int status_ok = 200;
constexpr std::chrono::milliseconds pause_without_advice{50};
/// Beyond what engines keep of a prompt's start, so that prompts of a workspace share it.
constexpr int template_length = 320;

answer_check make_check(const workload::arrival& asked, const QByteArray& prompt,
                        const QByteArray& body)
{
    return asked.kind == workload::call_kind::plain
               ? answer_check::of_plain(body)
               : answer_check::of_model("user: " + prompt + '\n', asked.tokens, asked.streamed);
}

}  // namespace

caller::caller(const caller_context& context, const workload::arrival& asked,
               std::function<void()> over)
    : context_(context), record_{.asked = asked}, over_(std::move(over)),
      check_(make_check(asked, prompt(), body()))
{
    patience_.setSingleShot(true);
    pause_.setSingleShot(true);
    QObject::connect(&patience_, &QTimer::timeout, &patience_, [this] { on_silence(); });
    QObject::connect(&pause_, &QTimer::timeout, &pause_, [this] { attempt(); });
}

void caller::start()
{
    attempt();
}

const call_record& caller::record() const
{
    return record_;
}

void caller::stop()
{
    patience_.stop();
    pause_.stop();
    link_ = nullptr;
    over_ = {};
}

void caller::attempt()
{
    context_.directory.resolve(record_.asked.router,
                               [this](std::uint32_t router) { send(router, false); });
}

void caller::send(std::uint32_t router, bool same_router_again)
{
    if (!over_)
    {
        return;
    }
    if (!same_router_again)
    {
        record_.attempts.push_back({.router = router, .sent_s = now_s()});
    }
    check_ = make_check(record_.asked, prompt(), body());
    error_body_.clear();
    link_ = &context_.connections.take(context_.directory.address(router));
    link_->send(request(),
                {.part = [this](const auto& head, const QByteArray& part) { on_part(head, part); },
                 .whole = [this](const auto& head) { on_whole(head); },
                 .broken =
                     [this](bool is_failure)
                 {
                     on_broken(is_failure);
                 }});
    patience_.start(static_cast<int>(context_.load.callers.patience_s * 1000));
}

void caller::on_part(const response_reader& head, const QByteArray& body)
{
    if (!over_)
    {
        return;
    }
    patience_.start();
    attempt_record& mine = record_.attempts.back();
    if (!mine.first_byte_s)
    {
        mine.first_byte_s = now_s();
        mine.status = head.status();
        mine.id = head.header("x-request-id").toStdString();
    }
    if (head.status() != status_ok)
    {
        error_body_ += body;
        return;
    }
    const std::uint32_t tokens = check_.take(body);
    mine.token_s.insert(mine.token_s.end(), tokens, now_s());
}

void caller::on_whole(const response_reader& head)
{
    if (!over_)
    {
        return;
    }
    patience_.stop();
    link_ = nullptr;
    record_.attempts.back().ended_s = now_s();
    if (head.status() != status_ok)
    {
        take_refusal(head);
        return;
    }
    record_.attempts.back().end = attempt_end::answered;
    record_.fault = check_.end();
    finish();
}

void caller::on_broken(bool is_failure)
{
    if (!over_)
    {
        return;
    }
    patience_.stop();
    link_ = nullptr;
    attempt_record& mine = record_.attempts.back();
    if (!is_failure && !mine.first_byte_s)
    {
        // The router closed a kept connection just as it was used again; that is no failure.
        send(mine.router, true);
        return;
    }
    mine.end = attempt_end::broken;
    mine.ended_s = now_s();
    context_.directory.failed(record_.asked.router, mine.router);
    may_try_again() ? attempt() : finish();
}

void caller::on_silence()
{
    if (link_ != nullptr)
    {
        link_->abandon();
    }
    on_broken(true);
}

void caller::take_refusal(const response_reader& head)
{
    attempt_record& mine = record_.attempts.back();
    mine.end = attempt_end::refused;
    const QJsonValue error = QJsonDocument::fromJson(error_body_).object()["error"];
    mine.code = error["code"].toString().toStdString();
    mine.outcome = error["outcome"].toString().toStdString();
    const bool not_run = mine.outcome == "not_run";
    const bool repeatable = not_run || record_.asked.kind == workload::call_kind::model;
    if (!repeatable || head.status() < 429 || !may_try_again())
    {
        finish();
        return;
    }
    if (mine.code == "stopping")
    {
        context_.directory.failed(record_.asked.router, mine.router);
    }
    const int seconds = head.header("retry-after").toInt();
    again_after(seconds > 0 ? std::chrono::seconds(seconds) : pause_without_advice);
}

void caller::again_after(std::chrono::milliseconds pause)
{
    pause_.start(pause);
}

void caller::finish()
{
    record_.over = true;
    // May end this object's thread's work, but not this object.
    std::exchange(over_, {})();
}

bool caller::may_try_again() const
{
    return record_.attempts.size() < context_.load.callers.attempts;
}

QByteArray caller::request() const
{
    const auto& asked = record_.asked;
    const bool plain = asked.kind == workload::call_kind::plain;
    const QByteArray content = body();
    QByteArray text = plain ? "POST /s/" + QByteArray::fromStdString(context_.load.services.service)
                            : QByteArray("POST /v1/chat/completions");
    text += plain ? "/calls" : "";
    text += " HTTP/1.1\r\nHost: router\r\nContent-Type: application/json\r\nAuthorization: Bearer ";
    text += QByteArray::fromStdString(context_.keys[asked.workspace]);
    text += "\r\nContent-Length: " + QByteArray::number(content.size());
    if (plain)
    {
        text += "\r\nIdempotency-Key: " + QByteArray::fromStdString(plain_key(asked.number));
    }
    return text + "\r\n\r\n" + content;
}

QByteArray caller::body() const
{
    const auto& asked = record_.asked;
    if (asked.kind == workload::call_kind::plain)
    {
        return "{\"call\":" + QByteArray::number(asked.number) + '}';
    }
    QByteArray text = R"({"model":")" + QByteArray::fromStdString(context_.load.engines.model) +
                      R"(","messages":[{"role":"user","content":")" + prompt() +
                      R"("}],"x_tokens":)" + QByteArray::number(asked.tokens);
    if (asked.max_tokens > 0)
    {
        text += ",\"max_tokens\":" + QByteArray::number(asked.max_tokens);
    }
    return text + (asked.streamed ? ",\"stream\":true}" : "}");
}

QByteArray caller::prompt() const
{
    const auto& workspace = context_.load.workspaces[record_.asked.workspace];
    const QByteArray start = "Workspace " + QByteArray::fromStdString(workspace.id) + ' ';
    return start.leftJustified(template_length, '.') + " request " +
           QByteArray::number(record_.asked.number);
}

double caller::now_s() const
{
    return std::chrono::duration<double>(caraway::base::time_point::clock::now() - context_.start)
        .count();
}

}  // namespace caraway_load::calls
