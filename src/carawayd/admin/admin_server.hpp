#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/net/http_limits.hpp"

#include <QByteArray>
#include <QObject>
#include <QThreadPool>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace caraway::metrics
{
class registry;
}
namespace caraway::net
{
class http_acceptor;
class http_exchange;
class http_worker;
struct http_request;
}  // namespace caraway::net
namespace caraway::rpc
{
class rpc_endpoint;
}

namespace carawayd::admin
{

/// What the admin server asks the rest of the daemon. Each may be called from any thread.
struct admin_hooks
{
    /// The operator whose key has this SHA-256, if there is one.
    std::function<std::optional<caraway::base::operator_id>(const std::string& key_hash)>
        operator_with_key;
    /// Whether callers may be sent here.
    std::function<bool()> ready;
    /// Whether a peer's authorization for this path holds.
    std::function<bool(const std::string& authorization, const std::string& path)> peer_allowed;
    /// The document in force, if it has this hash.
    std::function<std::optional<QByteArray>(const std::string& hash)> document;
};

/// What operators, monitoring and peers reach over HTTP: `/rpc`, `/metrics`, `/healthz`, `/readyz`
/// and
/// `/peer/config/<hash>`. Lives on a thread of its own, so that a slow answer holds up neither
/// traffic nor control; RPC calls, which wait for the control thread, run on a small pool beside
/// it.
class admin_server : public QObject
{
public:
    admin_server(caraway::net::http_limits limits, admin_hooks hooks,
                 const caraway::rpc::rpc_endpoint& endpoint,
                 const caraway::metrics::registry& registry, const caraway::base::clock& clock);
    ~admin_server() override;

    /// In the server's thread.
    caraway::base::result<void> open(const std::string& address, std::uint16_t port);
    void close();
    std::uint16_t port() const;

private:
    void handle(const std::shared_ptr<caraway::net::http_exchange>& exchange);
    void handle_rpc(const std::shared_ptr<caraway::net::http_exchange>& exchange);
    void handle_document(caraway::net::http_exchange& exchange);
    void handle_get(caraway::net::http_exchange& exchange);

    caraway::net::http_limits limits_;
    admin_hooks hooks_;
    const caraway::rpc::rpc_endpoint& endpoint_;
    const caraway::metrics::registry& registry_;
    const caraway::base::clock& clock_;
    std::unique_ptr<caraway::net::http_worker> worker_;
    std::unique_ptr<caraway::net::http_acceptor> acceptor_;
    QThreadPool pool_;
};

}  // namespace carawayd::admin
