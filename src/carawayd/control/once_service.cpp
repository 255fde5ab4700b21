#include "carawayd/control/once_service.hpp"

#include "carawayd/traffic/traffic_worker.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <chrono>
#include <utility>
#include <variant>

namespace carawayd::control
{

using caraway::attempts::insert_row;
using caraway::attempts::once_step;
using caraway::attempts::read_reply;
using caraway::attempts::read_row;
using caraway::attempts::read_status;
using caraway::attempts::replace_row;
using caraway::attempts::write_reply;
using caraway::base::errc;
using caraway::base::request_number;
using caraway::net::row_revision;
using caraway::net::write_condition;

namespace
{

QJsonObject parse(const std::string& text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

std::string print(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

write_reply reply_of(const caraway::base::result<row_revision>& done)
{
    if (done)
    {
        return write_reply::ok;
    }
    switch (done.error().code)
    {
    case errc::conflict:
        return write_reply::conflict;
    case errc::unavailable:
    case errc::timeout:
    case errc::resource_exhausted:
        return write_reply::unavailable;
    default:
        return write_reply::unknown_effect;
    }
}

read_reply reply_of(const caraway::base::result<caraway::net::platform_row>& done)
{
    if (done)
    {
        return {.status = read_status::found,
                .row = {.rev = static_cast<std::uint64_t>(done.value().rev),
                        .body = print(done.value().body)}};
    }
    if (done.error().code == errc::not_found)
    {
        return {.status = read_status::absent, .row = {}};
    }
    return {};
}

}  // namespace

once_service::once_service(once_service_options options, caraway::net::platform_client& platform,
                           const caraway::base::clock& clock, QObject* parent)
    : QObject(parent), options_(std::move(options)), platform_(platform), clock_(clock)
{
}

once_service::~once_service() = default;

void once_service::claim(const traffic::claim_request& request)
{
    const auto wall = clock_.wall_time().time_since_epoch();
    const caraway::attempts::once_call call{
        .claimant = {.router = options_.self, .request = request.request, .count = 0},
        .key = caraway::attempts::once_row_key(request.workspace, request.key),
        .fingerprint = request.fingerprint,
        .now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
    entry added{.coordinator = std::make_unique<caraway::attempts::once_coordinator>(
                    options_.once, call, options_.holder),
                .from = request.from};
    auto& coordinator = *added.coordinator;
    entries_.emplace(request.request, std::move(added));
    follow(request.request, coordinator.start());
}

void once_service::ended(const traffic::claim_end& end)
{
    entry* found = find(end.request);
    if (found == nullptr)
    {
        return;
    }
    if (const auto* answer = std::get_if<caraway::attempts::once_answer>(&end.end))
    {
        follow(end.request, found->coordinator->finish(*answer));
        return;
    }
    follow(end.request, found->coordinator->finish_without_answer(
                            std::get<caraway::attempts::outcome>(end.end)));
}

void once_service::abandoned(request_number number)
{
    entry* found = find(number);
    if (found == nullptr)
    {
        return;
    }
    found->answered = true;
    if (!found->coordinator->abandon())
    {
        // The verdict crossed the abandonment on its way: nothing was sent, so the claim is let go.
        follow(number,
               found->coordinator->finish_without_answer(caraway::attempts::outcome::not_run));
    }
}

std::size_t once_service::pending() const
{
    return entries_.size();
}

void once_service::follow(request_number number, const once_step& step)
{
    const entry* found = find(number);
    const auto pause =
        found == nullptr
            ? std::chrono::milliseconds(0)
            : std::chrono::ceil<std::chrono::milliseconds>(found->coordinator->backoff());
    if (pause.count() == 0)
    {
        carry_out(number, step);
        return;
    }
    // An outage would otherwise use up all tries of recording an end at once, and the key's outcome
    // be lost.
    QTimer::singleShot(pause, this, [this, number, step] { carry_out(number, step); });
}

void once_service::carry_out(request_number number, const once_step& step)
{
    if (const auto* insert = std::get_if<insert_row>(&step))
    {
        write(number, insert->key, insert->body, std::nullopt);
        return;
    }
    if (const auto* replace = std::get_if<replace_row>(&step))
    {
        write(number, replace->key, replace->body, replace->expected_rev);
        return;
    }
    if (const auto* wanted = std::get_if<read_row>(&step))
    {
        read(number, wanted->key);
        return;
    }
    if (std::holds_alternative<caraway::attempts::proceed>(step))
    {
        answer(number, caraway::attempts::proceed());
        return;
    }
    if (const auto* recorded = std::get_if<caraway::attempts::replay>(&step))
    {
        answer(number, *recorded);
    }
    else if (const auto* refusal = std::get_if<caraway::attempts::refuse>(&step))
    {
        answer(number, *refusal);
    }
    entries_.erase(number);
}

void once_service::write(request_number number, const caraway::attempts::row_key& key,
                         const std::string& body, std::optional<std::uint64_t> rev)
{
    const auto condition =
        rev ? write_condition::at(row_revision(*rev)) : write_condition::absent();
    platform_.put({.pk = key.pk, .sk = key.sk, .body = parse(body)}, condition,
                  [this, number](const caraway::base::result<row_revision>& done)
                  {
                      if (entry* found = find(number))
                      {
                          follow(number, found->coordinator->on_write(reply_of(done)));
                      }
                  });
}

void once_service::read(request_number number, const caraway::attempts::row_key& key)
{
    platform_.get(key.pk, key.sk,
                  [this, number](const caraway::base::result<caraway::net::platform_row>& done)
                  {
                      if (entry* found = find(number))
                      {
                          follow(number, found->coordinator->on_read(reply_of(done)));
                      }
                  });
}

void once_service::answer(request_number number, const traffic::claim_verdict& verdict)
{
    entry* found = find(number);
    if (found == nullptr || found->answered)
    {
        return;
    }
    found->answered = true;
    found->from->post_claim_verdict(number, verdict);
}

once_service::entry* once_service::find(request_number number)
{
    const auto found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace carawayd::control
