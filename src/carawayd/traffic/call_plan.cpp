#include "carawayd/traffic/call_plan.hpp"

#include "carawayd/traffic/routing_view.hpp"
#include "libcaraway/attempts/call_classifier.hpp"
#include "libcaraway/config/document.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

namespace carawayd::traffic
{

using caraway::attempts::caller_error;
using caraway::attempts::error_code;
using caraway::attempts::make_caller_error;
using caraway::base::service_id;
using caraway::base::workspace_id;
using caraway::config::service;
using caraway::config::service_kind;
using caraway::net::http_request;

namespace
{

constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view plain_prefix = "/s/";
constexpr std::size_t longest_idempotency_key = 255;

constexpr std::array hop_by_hop_names = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// Fields of a caller's request that no upstream must see or that the router sets itself.
bool is_private_to_router(const std::string& name)
{
    const std::string plain = lower(name);
    return plain == "authorization" || plain == "x-request-id" || plain.rfind("x-caraway-", 0) == 0;
}

std::vector<caraway::net::http_header> forwarded_headers(const http_request& request,
                                                         bool keep_encoding)
{
    std::vector<caraway::net::http_header> kept;
    for (const auto& header : request.headers)
    {
        const bool encoding = lower(header.name) == "accept-encoding";
        if (is_hop_by_hop(header.name) || is_private_to_router(header.name) ||
            (encoding && !keep_encoding))
        {
            continue;
        }
        kept.push_back(header);
    }
    return kept;
}

bool may_call(const routing_view& view, const workspace_id& workspace, const service_id& wanted)
{
    const auto& allowed = view.configuration->content.workspaces.at(workspace).services;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), wanted) != allowed.end();
}

std::variant<service, caller_error> find_service(const routing_view& view,
                                                 const workspace_id& workspace,
                                                 const service_id& wanted, service_kind kind)
{
    const auto& services = view.configuration->content.services;
    const auto found = services.find(wanted);
    if (found == services.end() || found->second.kind != kind)
    {
        return make_caller_error(error_code::not_found,
                                 "There is no such service or model: " + wanted.str());
    }
    if (!may_call(view, workspace, wanted))
    {
        return make_caller_error(error_code::permission_denied,
                                 "This workspace may not call " + wanted.str());
    }
    return found->second;
}

std::variant<call_plan, caller_error> plan_model_call(const routing_view& view,
                                                      const workspace_id& workspace,
                                                      const http_request& request)
{
    if (request.method != "POST")
    {
        return make_caller_error(error_code::invalid_request, "Use POST for completions.");
    }
    auto read = read_model_call(request.body);
    if (!read)
    {
        return make_caller_error(error_code::invalid_request, read.error().message);
    }
    auto found = find_service(view, workspace, read.value().model, service_kind::model);
    if (auto* problem = std::get_if<caller_error>(&found))
    {
        return std::move(*problem);
    }
    call_plan plan;
    plan.service = std::get<service>(std::move(found));
    plan.idempotent = true;
    plan.hint = read.value().hint;
    plan.affinity = read.value().affinity;
    plan.target = request.path;
    plan.headers = forwarded_headers(request, false);
    plan.model = std::move(read.value());
    return plan;
}

std::variant<call_plan, caller_error> plan_plain_call(const routing_view& view,
                                                      const workspace_id& workspace,
                                                      const http_request& request)
{
    const std::string rest = request.path.substr(plain_prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    auto found = find_service(view, workspace, service_id(name), service_kind::plain);
    if (auto* problem = std::get_if<caller_error>(&found))
    {
        return std::move(*problem);
    }
    call_plan plan;
    plan.service = std::get<service>(std::move(found));
    plan.idempotent = caraway::attempts::is_idempotent(plan.service, request.method, path);
    plan.hint = plan.service.default_cost;
    plan.target = request.query.empty() ? path : path + "?" + request.query;
    plan.headers = forwarded_headers(request, true);
    const auto key = request.header("Idempotency-Key");
    if (!plan.idempotent && key && !key->empty())
    {
        if (key->size() > longest_idempotency_key)
        {
            return make_caller_error(error_code::invalid_request,
                                     "The Idempotency-Key is longer than 255 bytes.");
        }
        plan.once_key = *key;
    }
    return plan;
}

bool is_completion(const std::string& path)
{
    return path == "/v1/chat/completions" || path == "/v1/completions";
}

}  // namespace

bool is_hop_by_hop(const std::string& name)
{
    const std::string plain = lower(name);
    return std::find(hop_by_hop_names.begin(), hop_by_hop_names.end(), plain) !=
           hop_by_hop_names.end();
}

std::variant<workspace_id, caller_error> authenticate(const routing_view& view,
                                                      const http_request& request)
{
    const auto given = request.header("Authorization");
    if (!given || given->rfind(bearer, 0) != 0)
    {
        return make_caller_error(error_code::unauthenticated,
                                 "Send the workspace's key as Authorization: Bearer KEY.");
    }
    // The lookup goes by the key's hash, so that its time says nothing about the key itself.
    const std::string key = given->substr(bearer.size());
    const auto hash = caraway::config::sha256(QByteArray::fromStdString(key));
    const auto found = view.workspaces_by_key.find(hash);
    if (found == view.workspaces_by_key.end())
    {
        return make_caller_error(error_code::unauthenticated, "The key is not known.");
    }
    return found->second;
}

std::variant<call_plan, caller_error>
plan_call(const routing_view& view, const http_request& request, caraway::base::time_point now)
{
    const bool completion = is_completion(request.path);
    const bool plain = request.path.rfind(plain_prefix, 0) == 0;
    if (!completion && !plain)
    {
        return make_caller_error(error_code::not_found, "Nothing is served at this path.");
    }
    auto who = authenticate(view, request);
    if (auto* problem = std::get_if<caller_error>(&who))
    {
        return std::move(*problem);
    }
    const auto& workspace = std::get<workspace_id>(who);
    auto planned = completion ? plan_model_call(view, workspace, request)
                              : plan_plain_call(view, workspace, request);
    if (auto* plan = std::get_if<call_plan>(&planned))
    {
        plan->workspace = workspace;
        plan->method = request.method;
        plan->body = request.body;
        plan->deadline = now + plan->service.timeout;
    }
    return planned;
}

}  // namespace carawayd::traffic
