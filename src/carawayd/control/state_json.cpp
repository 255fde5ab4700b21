#include "carawayd/control/state_json.hpp"

#include <QJsonArray>
#include <QString>

#include <string>

namespace carawayd::control
{

namespace
{

using namespace caraway::scheduling;

QString text(const std::string& value)
{
    return QString::fromStdString(value);
}

template <class Id>
QString text(const Id& id)
{
    return QString::fromStdString(id.str());
}

template <class Number>
qint64 number(Number value)
{
    return static_cast<qint64>(value);
}

QJsonObject to_json(const queue_state& state)
{
    QJsonArray asked;
    for (const auto& owner : state.asked)
    {
        asked.append(text(owner));
    }
    return {{"service", text(state.key.service)}, {"workspace", text(state.key.workspace)},
            {"waiting", number(state.waiting)},   {"head_age_ms", number(state.head_age.count())},
            {"head_request", number(state.head)}, {"asked", asked},
            {"started_per_second", state.rate}};
}

QJsonObject to_json(const attempt_state& state)
{
    return {{"request", number(state.request)},
            {"service", text(state.key.service)},
            {"workspace", text(state.key.workspace)},
            {"upstream", text(state.upstream)},
            {"owner", text(state.owner)},
            {"grant", number(state.grant)},
            {"estimate", state.estimate.value()},
            {"charged", state.charged.value()},
            {"age_ms", number(state.age.count())}};
}

QJsonObject to_json(const upstream_state& state)
{
    return {{"upstream", text(state.upstream)}, {"service", text(state.service)},
            {"owner", text(state.owner)},       {"held", number(state.held)},
            {"draining", state.draining},       {"ejected", state.ejected}};
}

QJsonObject to_json(const owned_state& state)
{
    return {{"upstream", text(state.upstream)},
            {"window", number(state.window)},
            {"held", number(state.held)},
            {"granted", number(state.granted)},
            {"taking_over", state.taking_over}};
}

QJsonObject to_json(const account_state& state)
{
    return {{"service", text(state.key.service)},
            {"workspace", text(state.key.workspace)},
            {"epoch", number(state.epoch)},
            {"lift", state.lift.value()},
            {"own_total", state.total.value()},
            {"sum", state.sum.value()},
            {"pending", state.pending.value()},
            {"virtual_time", state.virtual_now.value()},
            {"known", state.known},
            {"demanded", number(state.demanded)}};
}

QJsonObject to_json(const grant_state& state)
{
    return {{"router", text(state.router)},
            {"grant", number(state.given.number)},
            {"upstream", text(state.given.upstream)},
            {"workspace", text(state.given.workspace)},
            {"age_ms", number(state.age.count())}};
}

QJsonObject to_json(const scheduler_counters& counts)
{
    return {{"submitted", number(counts.submitted)},
            {"rejected", number(counts.rejected)},
            {"started", number(counts.started)},
            {"given_up", number(counts.given_up)},
            {"retried", number(counts.retried)},
            {"grants_made", number(counts.grants_made)},
            {"grants_bound", number(counts.grants_bound)},
            {"grants_declined", number(counts.grants_declined)},
            {"grants_reclaimed", number(counts.grants_reclaimed)},
            {"epochs_started", number(counts.epochs_started)},
            {"messages_sent", number(counts.messages_sent)},
            {"messages_dropped", number(counts.messages_dropped)}};
}

template <class State>
QJsonArray list(const std::vector<State>& states)
{
    QJsonArray all;
    for (const State& state : states)
    {
        all.append(to_json(state));
    }
    return all;
}

}  // namespace

QJsonObject configuration_summary(const caraway::config::accepted_configuration* accepted)
{
    if (accepted == nullptr)
    {
        return {{"version", 0}, {"hash", ""}};
    }
    return {{"version", number(accepted->version)}, {"hash", text(accepted->hash)}};
}

QJsonObject member_counts(const caraway::membership::membership& members)
{
    int live = 0;
    int suspected = 0;
    for (const auto& [id, member] : members.members())
    {
        live += member.takes_part() ? 1 : 0;
        suspected += member.judged == caraway::membership::verdict::suspect ? 1 : 0;
    }
    return {{"live", live}, {"suspected", suspected}};
}

QJsonObject to_json(const caraway::scheduling::scheduler_snapshot& state)
{
    return {{"draining", state.draining},         {"view", QString::number(state.view)},
            {"queues", list(state.queues)},       {"attempts", list(state.attempts)},
            {"upstreams", list(state.upstreams)}, {"owned", list(state.owned)},
            {"accounts", list(state.accounts)},   {"grants", list(state.grants)},
            {"counters", to_json(state.counters)}};
}

QJsonObject to_json(const caraway::net::datagram_counters& counters)
{
    QJsonObject drops;
    for (const auto& [reason, count] : counters.drops)
    {
        drops[caraway::net::name(reason)] = number(count);
    }
    return {{"datagrams_in", number(counters.datagrams_in)},
            {"datagrams_out", number(counters.datagrams_out)},
            {"bytes_in", number(counters.bytes_in)},
            {"bytes_out", number(counters.bytes_out)},
            {"messages_in", number(counters.messages_in)},
            {"messages_out", number(counters.messages_out)},
            {"drops", drops}};
}

std::size_t waiting_requests(const caraway::scheduling::scheduler_snapshot& state)
{
    std::size_t sum = 0;
    for (const auto& queue : state.queues)
    {
        sum += queue.waiting;
    }
    return sum;
}

std::size_t free_slots(const caraway::scheduling::scheduler_snapshot& state)
{
    std::size_t sum = 0;
    for (const auto& owned : state.owned)
    {
        const std::size_t used = owned.held + owned.granted;
        sum += owned.window > used ? owned.window - used : 0;
    }
    return sum;
}

}  // namespace carawayd::control
