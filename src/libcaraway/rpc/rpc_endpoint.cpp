#include "libcaraway/rpc/rpc_endpoint.hpp"

#include "libcaraway/rpc/json_text.hpp"
#include "libcaraway/rpc/jsonrpc_library.hpp"
#include "libcaraway/rpc/rpc_error.hpp"

#include <utility>

namespace caraway::rpc
{

namespace
{

Json::Value error_data(base::errc kind)
{
    Json::Value data(Json::objectValue);
    data["code"] = base::name(kind);
    return data;
}

/// How the JSON-RPC library takes the error of a call.
jsonrpc::JsonRpcException failure(const base::error& error)
{
    return {error_code(error.code), error.message, error_data(error.code)};
}

/// The answer when the text can't even be handed to the library.
std::string refusal(int code, base::errc kind, const std::string& message)
{
    Json::Value answer(Json::objectValue);
    answer["jsonrpc"] = "2.0";
    answer["id"] = Json::nullValue;
    answer["error"]["code"] = code;
    answer["error"]["message"] = message;
    answer["error"]["data"] = error_data(kind);
    return Json::FastWriter().write(answer);
}

/// Handles one request or batch. One of these a request keeps the caller out of the library, and
/// lets any number of threads handle requests side by side.
class session final : public jsonrpc::IProcedureInvokationHandler
{
public:
    session(const std::map<std::string, rpc_method>& methods, const caller& who)
        : methods_(methods), who_(who),
          protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        for (const auto& [method, answer] : methods_)
        {
            protocol_->AddProcedure(
                {method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr});
        }
    }

    std::string answer(const std::string& body)
    {
        std::string out;
        protocol_->HandleRequest(body, out);
        return out;
    }

    // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's.
    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        if (++calls_ > max_batch_calls)
        {
            throw failure({.code = base::errc::resource_exhausted,
                           .message = "The batch holds more calls than are answered at a time."});
        }
        const std::string& method = procedure.GetProcedureName();
        if (!input.isNull() && !input.isObject())
        {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                            "Parameters are given by name, in an object.",
                                            error_data(base::errc::invalid_argument));
        }
        const auto result = invoke({.method = method,
                                    .params = to_qt(input).toObject(),
                                    .operator_id = who_.operator_id,
                                    .deadline = who_.deadline,
                                    .key_hash = who_.key_hash});
        if (result.has_error())
        {
            throw failure(result.error());
        }
        output = from_qt(result.value());
    }

    // NOLINTNEXTLINE(readability-identifier-naming): overrides the library's.
    void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                                const Json::Value& /*input*/) override
    {
        // No method is offered as a notification, so the library never gets here.
    }

private:
    base::result<QJsonValue> invoke(const rpc_call& call) const
    {
        try
        {
            return methods_.at(call.method)(call);
        }
        catch (const std::exception& fault)
        {
            return base::make_error(base::errc::internal,
                                    std::string("The method failed: ") + fault.what());
        }
    }

    const std::map<std::string, rpc_method>& methods_;
    const caller& who_;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
    std::size_t calls_ = 0;
};

}  // namespace

void rpc_endpoint::add(const std::string& method, rpc_method answer)
{
    methods_[method] = std::move(answer);
}

std::string rpc_endpoint::handle(const std::string& body, const caller& who) const
{
    if (body.size() > max_request_bytes)
    {
        return refusal(error_code(base::errc::resource_exhausted), base::errc::resource_exhausted,
                       "The request is longer than is read.");
    }
    if (!nesting_is_bounded(body))
    {
        return refusal(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, base::errc::invalid_argument,
                       "The request nests deeper than is read.");
    }
    if (!is_strict(body))
    {
        return refusal(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, base::errc::invalid_argument,
                       "The request is not valid JSON.");
    }
    try
    {
        return session(methods_, who).answer(body);
    }
    catch (const std::exception&)
    {
        // The library lets its parser's exceptions through.
        return refusal(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, base::errc::invalid_argument,
                       "The request could not be read.");
    }
}

}  // namespace caraway::rpc
