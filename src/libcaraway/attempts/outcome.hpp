#pragma once

namespace caraway::attempts
{

/// What is known about a request that has ended. The list is complete.
enum class outcome
{
    done,     ///< The caller receives the complete answer.
    not_run,  ///< Provably no upstream started the request: nothing was sent, or the upstream
              ///< refused the request before starting it.
    unknown,  ///< The request was sent, at least in part, and no complete answer was received.
};

/// Name in the API: "done", "not_run" or "unknown".
const char* name(outcome value);

}  // namespace caraway::attempts
