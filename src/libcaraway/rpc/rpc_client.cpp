#include "libcaraway/rpc/rpc_client.hpp"

#include "libcaraway/rpc/http_connector.hpp"
#include "libcaraway/rpc/json_text.hpp"
#include "libcaraway/rpc/jsonrpc_library.hpp"
#include "libcaraway/rpc/rpc_error.hpp"

#include <utility>

namespace caraway::rpc
{

struct rpc_client::connection
{
    explicit connection(rpc_client_options options)
        : connector(std::move(options)), client(connector, jsonrpc::JSONRPC_CLIENT_V2)
    {
    }

    http_connector connector;
    jsonrpc::Client client;
};

rpc_client::rpc_client(rpc_client_options options)
    : connection_(std::make_unique<connection>(std::move(options)))
{
}

rpc_client::~rpc_client() = default;

base::result<QJsonValue> rpc_client::call(const std::string& method, const QJsonObject& params)
{
    try
    {
        return to_qt(connection_->client.CallMethod(method, from_qt(params)));
    }
    catch (const jsonrpc::JsonRpcException& thrown)
    {
        if (connection_->connector.failure())
        {
            return *connection_->connector.failure();
        }
        if (thrown.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE)
        {
            return base::make_error(base::errc::unknown_effect,
                                    "The answer is no JSON-RPC answer; the call may have acted.");
        }
        return base::make_error(error_kind(thrown.GetCode()), thrown.GetMessage());
    }
}

}  // namespace caraway::rpc
