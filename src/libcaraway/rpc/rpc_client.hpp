#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/logging/secret.hpp"

#include <QJsonObject>
#include <QJsonValue>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace caraway::rpc
{

/// Where and as whom a client calls.
struct rpc_client_options
{
    std::string host;
    std::uint16_t port = 0;
    logging::secret key;
    /// For one call, connecting included.
    std::chrono::milliseconds timeout{10000};
    /// Longest answer read.
    std::size_t max_answer_bytes = std::size_t{64} << 20;
};

/// Calls methods of one router, `POST http://HOST:PORT/rpc`. It blocks in an event loop, so it is
/// for tools and tests, not for the daemon's threads.
///
/// Errors: the server's own come back with their kind. `unavailable` means that the call provably
/// did not reach the server; `unknown_effect`, that it may have.
class rpc_client
{
public:
    explicit rpc_client(rpc_client_options options);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    base::result<QJsonValue> call(const std::string& method, const QJsonObject& params = {});

private:
    struct connection;
    std::unique_ptr<connection> connection_;
};

}  // namespace caraway::rpc
