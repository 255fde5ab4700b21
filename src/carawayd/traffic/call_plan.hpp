#pragma once

#include "carawayd/traffic/model_call.hpp"
#include "libcaraway/attempts/caller_error.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/net/http_message.hpp"

#include <QByteArray>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayd::traffic
{

struct routing_view;

/// What is to be done for one caller's request: for whom, by which service, and what an upstream
/// gets.
struct call_plan
{
    caraway::base::workspace_id workspace;
    caraway::config::service service;
    bool idempotent = false;
    caraway::base::cost hint;
    std::uint64_t affinity = 0;
    caraway::base::time_point deadline;
    std::string method;
    std::string target;
    std::vector<caraway::net::http_header> headers;
    QByteArray body;
    /// Set for calls of a model.
    std::optional<model_call> model;
    /// The caller's Idempotency-Key, for calls that may run only once.
    std::optional<std::string> once_key;
};

/// Finds the workspace by its key; an error where the key is missing or unknown.
std::variant<caraway::base::workspace_id, caraway::attempts::caller_error>
authenticate(const routing_view& view, const caraway::net::http_request& request);

/// Reads a request against the configuration in force. The error is the caller's answer.
std::variant<call_plan, caraway::attempts::caller_error>
plan_call(const routing_view& view, const caraway::net::http_request& request,
          caraway::base::time_point now);

/// Header fields that concern one connection only and are never passed on.
bool is_hop_by_hop(const std::string& name);

}  // namespace carawayd::traffic
