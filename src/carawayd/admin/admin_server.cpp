#include "carawayd/admin/admin_server.hpp"

#include "libcaraway/config/document.hpp"
#include "libcaraway/metrics/registry.hpp"
#include "libcaraway/net/http_acceptor.hpp"
#include "libcaraway/net/http_exchange.hpp"
#include "libcaraway/net/http_worker.hpp"
#include "libcaraway/rpc/rpc_endpoint.hpp"

#include <QMetaObject>

#include <chrono>
#include <string_view>
#include <utility>

namespace carawayd::admin
{

using caraway::net::http_exchange;
using caraway::net::http_response;

namespace
{

constexpr const char* rpc_path = "/rpc";
constexpr const char* document_prefix = "/peer/config/";
constexpr std::string_view bearer = "Bearer ";
constexpr int rpc_threads = 4;
/// An operator's tool waits 10 s by default; the answer must come before.
constexpr std::chrono::seconds rpc_time{9};

http_response text_response(int status, const char* type, QByteArray body)
{
    return {.status = status, .headers = {{"Content-Type", type}}, .body = std::move(body)};
}

/// SHA-256 of the key in an Authorization field; of nothing, where there is none.
std::string bearer_key_hash(const std::string& authorization)
{
    const bool has_key = authorization.rfind(bearer, 0) == 0;
    const auto key = has_key ? authorization.substr(bearer.size()) : std::string();
    return caraway::config::sha256(QByteArray::fromStdString(key));
}

}  // namespace

admin_server::admin_server(caraway::net::http_limits limits, admin_hooks hooks,
                           const caraway::rpc::rpc_endpoint& endpoint,
                           const caraway::metrics::registry& registry,
                           const caraway::base::clock& clock)
    : limits_(limits), hooks_(std::move(hooks)), endpoint_(endpoint), registry_(registry),
      clock_(clock)
{
    pool_.setMaxThreadCount(rpc_threads);
}

admin_server::~admin_server() = default;

caraway::base::result<void> admin_server::open(const std::string& address, std::uint16_t port)
{
    worker_ = std::make_unique<caraway::net::http_worker>(
        limits_, [this](std::shared_ptr<http_exchange> exchange) { handle(exchange); });
    acceptor_ = std::make_unique<caraway::net::http_acceptor>(
        std::vector<caraway::net::http_worker*>{worker_.get()});
    return acceptor_->listen(address, port);
}

void admin_server::close()
{
    acceptor_.reset();
    pool_.waitForDone();
    worker_.reset();
}

std::uint16_t admin_server::port() const
{
    return acceptor_ ? acceptor_->port() : 0;
}

void admin_server::handle(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.path == rpc_path)
    {
        handle_rpc(exchange);
        return;
    }
    if (request.method != "GET")
    {
        exchange->respond(caraway::net::error_response(405, "method_not_allowed", "Use GET."));
        return;
    }
    if (request.path.rfind(document_prefix, 0) == 0)
    {
        handle_document(*exchange);
        return;
    }
    handle_get(*exchange);
}

void admin_server::handle_rpc(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const std::string key_hash = bearer_key_hash(request.header("Authorization").value_or(""));
    const auto who = hooks_.operator_with_key(key_hash);
    if (!who)
    {
        exchange->respond(caraway::net::error_response(
            401, "unauthenticated", "Send an operator's key as Authorization: Bearer KEY."));
        return;
    }
    const caraway::rpc::caller caller{
        .operator_id = *who, .deadline = clock_.now() + rpc_time, .key_hash = key_hash};
    pool_.start(
        [this, exchange, caller, body = request.body.toStdString()]
        {
            const std::string answer = endpoint_.handle(body, caller);
            QMetaObject::invokeMethod(
                exchange.get(),
                [exchange, answer]
                {
                    exchange->respond(text_response(answer.empty() ? 204 : 200, "application/json",
                                                    QByteArray::fromStdString(answer)));
                },
                Qt::QueuedConnection);
        });
}

void admin_server::handle_document(http_exchange& exchange)
{
    const auto& request = exchange.request();
    if (!hooks_.peer_allowed(request.header("Authorization").value_or(""), request.path))
    {
        exchange.respond(caraway::net::error_response(401, "unauthenticated",
                                                      "This is for routers of the fleet."));
        return;
    }
    const auto bytes =
        hooks_.document(request.path.substr(std::char_traits<char>::length(document_prefix)));
    if (!bytes)
    {
        exchange.respond(
            caraway::net::error_response(404, "not_found", "That document is not in force here."));
        return;
    }
    exchange.respond(text_response(200, "application/json", *bytes));
}

void admin_server::handle_get(http_exchange& exchange)
{
    const std::string& path = exchange.request().path;
    if (path == "/metrics")
    {
        exchange.respond(text_response(200, "text/plain; version=0.0.4",
                                       QByteArray::fromStdString(registry_.prometheus_text())));
        return;
    }
    if (path == "/healthz")
    {
        exchange.respond(text_response(200, "text/plain", "ok\n"));
        return;
    }
    if (path == "/readyz")
    {
        const bool ready = hooks_.ready();
        exchange.respond(
            text_response(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n"));
        return;
    }
    exchange.respond(caraway::net::error_response(404, "not_found", "Nothing is served here."));
}

}  // namespace carawayd::admin
