#pragma once

#include "caraway_load/calls/answer_check.hpp"
#include "caraway_load/workload/arrivals.hpp"

#include <optional>
#include <string>
#include <vector>

namespace caraway_load::calls
{

/// How one attempt of a caller ended.
enum class attempt_end
{
    unfinished,  ///< The run ended first.
    answered,    ///< A whole answer, status 200.
    refused,     ///< An error answer.
    broken,      ///< The connection ended before the answer did.
};

/// One time that a request was sent. Instants are seconds since the run's start.
struct attempt_record
{
    std::uint32_t router = 0;
    double sent_s = 0;
    /// The first byte of the answer: for a stream, when the engine started it.
    std::optional<double> first_byte_s;
    std::optional<double> ended_s;
    attempt_end end = attempt_end::unfinished;
    int status = 0;
    /// The router's name for the request.
    std::string id;
    /// Of an error answer.
    std::string code;
    std::string outcome;
    /// When each token of a stream came.
    std::vector<double> token_s;
};

/// All that a caller saw of one request.
struct call_record
{
    workload::arrival asked;
    std::vector<attempt_record> attempts;
    answer_fault fault = answer_fault::none;
    /// The caller has its answer, or has given up.
    bool over = false;

    bool answered() const
    {
        return !attempts.empty() && attempts.back().end == attempt_end::answered;
    }
};

/// The Idempotency-Key of a plain call.
inline std::string plain_key(std::uint32_t number)
{
    return "call-" + std::to_string(number);
}

}  // namespace caraway_load::calls
