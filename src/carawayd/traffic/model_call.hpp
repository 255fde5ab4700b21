#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <cstdint>

namespace carawayd::traffic
{

/// What a router must know of an OpenAI-compatible completion request; the rest passes through
/// untouched.
struct model_call
{
    caraway::base::service_id model;
    bool stream = false;
    /// Expected cost: the prompt's length and the caller's cap on new tokens, both rough.
    caraway::base::cost hint;
    /// The part of the cost that the prompt makes up.
    caraway::base::cost prompt_cost;
    /// Hash of the prompt's beginning, by which engines cache; 0 without a prompt.
    std::uint64_t affinity = 0;
    QJsonObject body;
};

/// Reads a completion request. Errors: invalid_argument, naming the member at fault.
caraway::base::result<model_call> read_model_call(const QByteArray& body);

/// The same request, continued after `tokens` that the caller already has.
QByteArray resumed_body(const model_call& call, std::uint64_t tokens);

/// Cost of a whole, unstreamed answer by its `usage` member, or by `fallback` where it has none.
caraway::base::cost answer_cost(const QByteArray& answer, caraway::base::cost fallback);

}  // namespace carawayd::traffic
