#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"

#include <QJsonObject>
#include <QJsonValue>

#include <functional>
#include <map>
#include <string>

namespace caraway::rpc
{

/// Longest request taken, in bytes.
inline constexpr std::size_t max_request_bytes = std::size_t{4} << 20;
/// Calls that one batch may hold.
inline constexpr std::size_t max_batch_calls = 16;

/// Who calls, as the transport found out, and until when an answer is of use.
struct caller
{
    base::operator_id operator_id;
    base::time_point deadline{};
    /// SHA-256 in lower-case hex of the key that the operator presented, for methods that look it
    /// up anew in the accepted configuration.
    std::string key_hash = {};
};

/// One call of one method.
struct rpc_call
{
    std::string method;
    QJsonObject params;
    base::operator_id operator_id;
    base::time_point deadline{};
    /// SHA-256 in lower-case hex of the key that the operator presented, for methods that look it
    /// up anew in the accepted configuration.
    std::string key_hash = {};
};

/// Answers a call. Runs on the thread that called `rpc_endpoint::handle`, and may block there.
using rpc_method = std::function<base::result<QJsonValue>(const rpc_call&)>;

/// The server side of JSON-RPC 2.0, without a transport: text in, text out. Methods are all added
/// before the first call; from then on any number of threads may handle calls at a time.
class rpc_endpoint
{
public:
    /// Adds a method, or replaces the one of that name.
    void add(const std::string& method, rpc_method answer);

    /// Answers one request or batch. Whatever is malformed, too long, unknown or fails gets its
    /// JSON-RPC error; so does a notification, since every method here has a result.
    std::string handle(const std::string& body, const caller& who) const;

private:
    std::map<std::string, rpc_method> methods_;
};

}  // namespace caraway::rpc
