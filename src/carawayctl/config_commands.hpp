#pragma once

#include "carawayctl/exit_code.hpp"
#include "carawayctl/session.hpp"

#include <QtGlobal>

#include <optional>
#include <string>

namespace caraway::ctl
{

/// Merges and checks a folder; tells every problem. Asks no router.
exit_code run_config_check(const std::string& folder, bool json);

struct diff_options
{
    std::string folder;
    /// A version or another folder; empty means the version in force.
    std::string against;
};
/// What the folder would change, and which parts of the review rules that touches.
exit_code run_config_diff(const session& fleet, const diff_options& options);

struct propose_options
{
    std::string folder;
    std::string note;
    /// Empty draws a new one. Repeating a proposal under its id has no second effect.
    std::string change;
    /// Version that the folder was made from; without it, the one in force. A proposal on another
    /// base than the version in force is refused, so naming it guards against undoing a change that
    /// somebody else made meanwhile.
    std::optional<qint64> base;
};
exit_code run_config_propose(const session& fleet, const propose_options& options);

struct approve_options
{
    std::string change;
    /// Hash of the document that was reviewed; empty takes the one that the routers tell.
    std::string hash;
};
exit_code run_config_approve(const session& fleet, const approve_options& options);

struct reject_options
{
    std::string change;
    std::string reason;
};
exit_code run_config_reject(const session& fleet, const reject_options& options);

/// Prints the configuration in force, or that of a version; empty means the one in force.
exit_code run_config_show(const session& fleet, const std::string& version);

/// Lists the accepted versions, newest first.
exit_code run_config_log(const session& fleet);

/// Lists the proposed changes.
exit_code run_config_changes(const session& fleet);

}  // namespace caraway::ctl
