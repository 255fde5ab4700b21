#include "caraway_load/run/overhead_run.hpp"

#include "caraway_load/calls/closed_loop.hpp"
#include "caraway_load/measures/percentiles.hpp"
#include "caraway_load/run/process_usage.hpp"

#include "libfleet/fleet.hpp"

#include <QDateTime>
#include <QJsonArray>
#include <QThread>

#include <array>
#include <vector>

namespace caraway_load::run
{

namespace
{

constexpr int rounds = 4;
constexpr std::chrono::milliseconds turn{1500};
constexpr std::chrono::milliseconds warm_up{500};
constexpr std::uint32_t many_slots = 256;
constexpr double ms_per_second = 1000;

/// One kind of load.
struct load_kind
{
    std::uint32_t callers = 1;
    bool streamed = false;
    std::uint32_t tokens = 1;
};

constexpr std::array kinds = {
    load_kind{.callers = 1, .streamed = false, .tokens = 1},
    load_kind{.callers = 16, .streamed = false, .tokens = 1},
    load_kind{.callers = 64, .streamed = false, .tokens = 1},
    load_kind{.callers = 16, .streamed = true, .tokens = 50},
    load_kind{.callers = 64, .streamed = true, .tokens = 50},
};

QByteArray request_text(const load_kind& kind, const std::string& key)
{
    QByteArray body = R"({"model":"planner","messages":[{"role":"user","content":"Which way?"}],)"
                      R"("x_tokens":)";
    body += QByteArray::number(kind.tokens) + ",\"max_tokens\":" + QByteArray::number(kind.tokens);
    body += kind.streamed ? ",\"stream\":true}" : "}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: engine\r\nContent-Type: application/json"
           "\r\nAuthorization: Bearer " +
           QByteArray::fromStdString(key) +
           "\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

void add(calls::closed_loop_result& sum, const calls::closed_loop_result& more)
{
    sum.answer_s.insert(sum.answer_s.end(), more.answer_s.begin(), more.answer_s.end());
    sum.first_byte_s.insert(sum.first_byte_s.end(), more.first_byte_s.begin(),
                            more.first_byte_s.end());
    sum.failed += more.failed;
    sum.seconds += more.seconds;
}

QJsonObject described(const calls::closed_loop_result& one)
{
    const auto answer = measures::distribution_of(one.answer_s);
    const auto first = measures::distribution_of(one.first_byte_s);
    return {{"requests", static_cast<qint64>(answer.count)},
            {"failed", static_cast<qint64>(one.failed)},
            {"requests_per_s", static_cast<double>(answer.count) / one.seconds},
            {"p50_ms", answer.median * ms_per_second},
            {"p99_ms", answer.p99 * ms_per_second},
            {"first_byte_p50_ms", first.median * ms_per_second},
            {"first_byte_p99_ms", first.p99 * ms_per_second}};
}

double ratio(const QJsonObject& over, const QJsonObject& under, const char* figure)
{
    const double divisor = under[QLatin1String(figure)].toDouble();
    return divisor > 0 ? over[QLatin1String(figure)].toDouble() / divisor : 0;
}

double added(const QJsonObject& routed, const QJsonObject& straight, const char* figure)
{
    return routed[QLatin1String(figure)].toDouble() - straight[QLatin1String(figure)].toDouble();
}

QJsonObject compared(const load_kind& kind, const QJsonObject& straight, const QJsonObject& routed,
                     double router_cpu_s)
{
    const double requests = routed["requests"].toDouble();
    return {
        {"callers", static_cast<qint64>(kind.callers)},
        {"streamed", kind.streamed},
        {"tokens", static_cast<qint64>(kind.tokens)},
        {"straight", straight},
        {"routed", routed},
        {"requests_ratio", ratio(routed, straight, "requests_per_s")},
        {"p50_ratio", ratio(routed, straight, "p50_ms")},
        {"p99_ratio", ratio(routed, straight, "p99_ms")},
        {"added_p50_ms", added(routed, straight, "p50_ms")},
        {"added_p99_ms", added(routed, straight, "p99_ms")},
        {"added_first_byte_p50_ms", added(routed, straight, "first_byte_p50_ms")},
        {"router_cpu_ms_a_request", requests > 0 ? router_cpu_s * ms_per_second / requests : 0}};
}

QJsonObject measure(fleet::fleet& running, const load_kind& kind)
{
    const auto engine = running.engine_address(0);
    const auto router = running.router_callers(0);
    calls::closed_loop_options straight{.where = {engine.host, engine.port},
                                        .request =
                                            request_text(kind, running.workspace_key("north")),
                                        .callers = kind.callers,
                                        .length = warm_up};
    calls::closed_loop_options routed = straight;
    routed.where = {router.host, router.port};
    calls::run_closed_loop(straight);
    calls::run_closed_loop(routed);
    straight.length = turn;
    routed.length = turn;
    calls::closed_loop_result to_engine;
    calls::closed_loop_result to_router;
    double router_cpu_s = 0;
    for (int round = 0; round < rounds; ++round)
    {
        add(to_engine, calls::run_closed_loop(straight));
        const double before = usage_of(running.router(0).pid()).cpu_s;
        add(to_router, calls::run_closed_loop(routed));
        router_cpu_s += usage_of(running.router(0).pid()).cpu_s - before;
    }
    return compared(kind, described(to_engine), described(to_router), router_cpu_s);
}

}  // namespace

caraway::base::result<QJsonObject> run_overhead(const QString& programs)
{
    fleet::layout plan;
    plan.routers = 1;
    plan.programs = programs;
    plan.settings = {{"log", QJsonObject{{"level", "warning"}}}};
    plan.engines = {
        {.id = "runner-1", .slots = many_slots, .token_ms = 1, .prefill_ms_per_1k_tokens = 0}};
    plan.workspaces = {{.id = "north"}};
    fleet::fleet running(plan);
    BOOST_OUTCOME_TRY(running.start());
    const double load_from = load_average();
    QJsonArray cases;
    for (const load_kind& kind : kinds)
    {
        cases.append(measure(running, kind));
    }
    return QJsonObject{{"at", QDateTime::currentDateTimeUtc().toString(Qt::ISODate)},
                       {"load_average", QJsonArray{load_from, load_average()}},
                       {"cases", cases}};
}

}  // namespace caraway_load::run
