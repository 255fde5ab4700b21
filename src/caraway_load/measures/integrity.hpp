#pragma once

#include "caraway_load/calls/call_record.hpp"

#include <map>
#include <string>
#include <vector>

namespace caraway_load::measures
{

/// What the stand-ins say became of one request, added up over all of them.
struct upstream_counts
{
    int received = 0;
    int started = 0;
    int finished = 0;
};

/// By the router's request id (model requests) and by Idempotency-Key (plain calls).
struct upstream_logs
{
    std::map<std::string, upstream_counts> model;
    std::map<std::string, int> plain_runs;
    /// False if a stand-in ended before it could be asked, or forgets its oldest requests.
    bool complete = true;
};

/// How often a promise was broken; all must be 0.
struct broken_promises
{
    int mixed_up = 0;                ///< Somebody else's answer, or tokens out of order.
    int cut_looked_complete = 0;     ///< Tokens missing in an answer that ended as whole.
    int doubled_tokens = 0;          ///< Tokens twice in one answer.
    int answered_without_run = 0;    ///< An answer that no upstream has finished.
    int not_run_yet_ran = 0;         ///< "Not run" was said of a request that had started.
    int plain_run_twice = 0;         ///< A call that may run once ran more often.
    int plain_answered_not_run = 0;  ///< An answer to a call that never ran.
    /// Not a promise: idempotent requests may be run again after a failure.
    int model_run_again = 0;

    int sum() const
    {
        return mixed_up + cut_looked_complete + doubled_tokens + answered_without_run +
               not_run_yet_ran + plain_run_twice + plain_answered_not_run;
    }
};

/// Holds the callers' records against the stand-ins' logs.
broken_promises check_promises(const std::vector<calls::call_record>& calls,
                               const upstream_logs& logs);

}  // namespace caraway_load::measures
