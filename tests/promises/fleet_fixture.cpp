#include "fleet_fixture.hpp"

#include "libcaraway/rpc/methods.hpp"

#include <boost/test/unit_test.hpp>

#include <QElapsedTimer>
#include <QThread>

#include <utility>

namespace promises
{

namespace
{

constexpr int patience_ms = 30000;
constexpr unsigned long step_ms = 20;
const QByteArray completions = "/v1/chat/completions";
const QByteArray pickup = "/s/dispatch/pickups/7";

void require(const caraway::base::result<void>& done)
{
    if (!done)
    {
        BOOST_FAIL(done.error().message);
    }
}

}  // namespace

fleet_fixture::fleet_fixture(fleet::layout plan) : running(std::move(plan))
{
    require(running.start());
}

fleet::answer fleet_fixture::call(std::size_t router, const QByteArray& method,
                                  const QByteArray& path, const QByteArray& body,
                                  const QByteArray& headers)
{
    fleet::raw_caller caller(running.router_callers(router));
    caller.send(fleet::request(method, path, key(), body, headers + "Connection: close\r\n"));
    return fleet::read_answer(caller.read_to_end());
}

fleet::answer fleet_fixture::complete(std::size_t router, int tokens, bool stream)
{
    return call(router, "POST", completions, fleet::completion(tokens, stream));
}

fleet::answer fleet_fixture::confirm(std::size_t router, const QByteArray& idempotency_key)
{
    return call(router, "POST", pickup, "{}", "Idempotency-Key: " + idempotency_key + "\r\n");
}

QByteArray fleet_fixture::keyed_request(const QByteArray& idempotency_key) const
{
    return fleet::request("POST", pickup, key(), "{}",
                          "Connection: close\r\nIdempotency-Key: " + idempotency_key + "\r\n");
}

QByteArray fleet_fixture::completion_request(int tokens, bool stream,
                                             const QByteArray& prompt) const
{
    return fleet::request("POST", completions, key(), fleet::completion(tokens, stream, prompt),
                          "Connection: close\r\n");
}

int fleet_fixture::service_runs()
{
    const auto stats = running.get_json(running.service_address(0), "/_stats");
    return stats ? stats.value()["total_runs"].toInt() : -1;
}

int fleet_fixture::engine_starts(std::size_t index)
{
    const auto stats = running.get_json(running.engine_address(index), "/_stats");
    int starts = 0;
    if (stats)
    {
        const auto requests = stats.value()["requests"].toObject();
        for (const auto& one : requests)
        {
            starts += one.toObject()["started"].toInt();
        }
    }
    return starts;
}

QJsonObject fleet_fixture::status(std::size_t router)
{
    const auto told = running.rpc(router, caraway::rpc::methods::status);
    return told ? told.value().toObject() : QJsonObject();
}

void fleet_fixture::control_platform(const QJsonObject& switches)
{
    require(running.control(running.platform_address(), switches));
}

void fleet_fixture::control_engine(std::size_t index, const QJsonObject& switches)
{
    require(running.control(running.engine_address(index), switches));
}

void fleet_fixture::control_service(const QJsonObject& switches)
{
    require(running.control(running.service_address(0), switches));
}

std::string fleet_fixture::key() const
{
    return running.workspace_key("north");
}

bool becomes_true(const std::function<bool()>& condition)
{
    QElapsedTimer waited;
    waited.start();
    while (!condition() && waited.elapsed() < patience_ms)
    {
        QThread::msleep(step_ms);
    }
    return condition();
}

}  // namespace promises
