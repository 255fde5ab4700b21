#pragma once

#include "libcaraway/attempts/once_coordinator.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/actions.hpp"
#include "libcaraway/scheduling/request.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carawayd::traffic
{

class traffic_worker;

/// A caller's request on its way to the control thread.
struct submission
{
    caraway::scheduling::request request;
    caraway::base::request_id id;
    /// Where the answer goes; outlives the control thread's part in it.
    traffic_worker* from = nullptr;
};

/// What a running request has cost so far.
struct progress_note
{
    caraway::base::request_number request{};
    caraway::base::cost streamed;
};

/// An attempt has ended; `retry` asks for another one.
struct attempt_note
{
    caraway::base::request_number request{};
    caraway::base::cost total;
    caraway::scheduling::attempt_result result{};
    bool retry = false;
    /// The upstream refused and wants nothing from this router for this time.
    std::optional<std::chrono::milliseconds> requested_rest;
};

/// Asks for the claim of a caller's key before a call that may run only once.
struct claim_request
{
    caraway::base::request_number request{};
    caraway::base::workspace_id workspace;
    std::string key;
    caraway::config::sha256_hex fingerprint;
    traffic_worker* from = nullptr;
};

/// How a claimed call ended, for the record under its key.
struct claim_end
{
    caraway::base::request_number request{};
    std::variant<caraway::attempts::once_answer, caraway::attempts::outcome> end;
};

/// What becomes of a claim: go on, give the recorded answer, or give an error.
using claim_verdict =
    std::variant<caraway::attempts::proceed, caraway::attempts::replay, caraway::attempts::refuse>;

/// The traffic threads' way to the control thread. Each member may be called from any thread and
/// returns at once; what it asks for happens later, in the order of the calls.
struct control_link
{
    std::function<void(submission)> submit;
    std::function<void(caraway::base::request_number)> cancel;
    std::function<void(std::vector<progress_note>)> progress;
    std::function<void(attempt_note)> attempt_ended;
    std::function<void(claim_request)> claim;
    std::function<void(claim_end)> claim_ended;
    /// The caller went away, or gave up, before the verdict came.
    std::function<void(caraway::base::request_number)> claim_abandoned;
};

}  // namespace carawayd::traffic
