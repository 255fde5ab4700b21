#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/rpc/jsonrpc_library.hpp"
#include "libcaraway/rpc/rpc_client.hpp"

#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <optional>
#include <string>

namespace caraway::rpc
{

/// Carries the JSON-RPC library's messages over HTTP, one POST a message, never a second one by
/// itself.
class http_connector final : public jsonrpc::IClientConnector
{
public:
    explicit http_connector(rpc_client_options options);

    /// Throws when there is no whole answer; `failure()` then tells what is known.
    void SendRPCMessage(const std::string& message, std::string& result) override;

    /// Why the last message got no answer, if it got none.
    const std::optional<base::error>& failure() const
    {
        return failure_;
    }

private:
    base::result<std::string> post(const std::string& message);
    void wait(QNetworkReply& reply) const;
    base::error transport_error(const QNetworkReply& reply, bool touched) const;
    base::error status_error(int status, const QByteArray& body) const;

    rpc_client_options options_;
    QNetworkAccessManager network_;
    std::optional<base::error> failure_;
};

}  // namespace caraway::rpc
