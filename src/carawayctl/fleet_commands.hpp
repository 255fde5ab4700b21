#pragma once

#include "carawayctl/exit_code.hpp"
#include "carawayctl/session.hpp"

#include <string>

namespace caraway::ctl
{

/// Every router's state, a row each. The exit code is that of the worst answer.
exit_code run_status(const session& fleet);

/// The whole state of the first router that answers, in JSON.
exit_code run_dump(const session& fleet);

/// What was decided about one request, asked of each router until one knows it.
exit_code run_explain(const session& fleet, const std::string& request);

/// Lets one router finish what it has and take nothing new. Exactly one must be named: another
/// router than the one meant would be drained in its place.
exit_code run_drain(const session& fleet);

}  // namespace caraway::ctl
