#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/config/bootstrap.hpp"
#include "libcaraway/config/change_rules.hpp"
#include "libcaraway/config/command.hpp"
#include "libcaraway/config/configuration.hpp"
#include "libcaraway/config/document.hpp"
#include "libcaraway/config/platform_action.hpp"
#include "libcaraway/config/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace caraway::config
{

/// State of a change after a command.
struct acceptance_result
{
    change_record change;
    /// Valid approvals by operators other than the proposer, and how many the rules require.
    std::uint32_t approvals = 0;
    std::uint32_t required = 0;
    /// The version under which the change was accepted; empty while it is open or rejected.
    std::optional<base::config_version> accepted_version;
};

struct acceptance_options
{
    bootstrap_options bootstrap;
    /// The newest version that this router knows of. A head row with an older version means that
    /// the store has lost writes; it is refused, so that a configuration never reverts.
    base::config_version newest_known{};
    /// Restarts after conflicts and lost replies before the command fails.
    std::uint32_t max_rounds = 8;
};

/// The next step: an action to carry out, or the command's result or error.
using acceptance_step = std::variant<platform_action, acceptance_result, base::error>;

/// Executes one command against the platform: a state machine that requests one action at a time
/// and ends with a result or an error. Several routers may run commands on the same change
/// concurrently, and a command may be repeated after a crash at any point: every write is
/// conditional, and a lost reply is resolved by reading the stored state again.
///
/// Errors: `conflict` (the base is no longer the accepted version, or the change has ended),
/// `permission_denied`, `unauthenticated`, `invalid_argument`, `not_found`, `corrupt`,
/// `unavailable` (nothing was written), `unknown_effect` (a write may have taken effect; repeat the
/// same command to find out).
class acceptance
{
public:
    acceptance(command request, acceptance_options options);

    /// The first action.
    acceptance_step begin();
    /// Processes the reply to the last requested action and returns the next step.
    acceptance_step handle(const platform_reply& reply);

private:
    /// The action whose reply is awaited.
    enum class stage
    {
        head,            ///< read_row: the accepted version
        change,          ///< read_row: the change as stored
        accepted,        ///< get_object: the accepted document, for its operators and rules
        store_proposed,  ///< put_object: the proposed document
        write_change,    ///< put_row: the change, an approval, or its rejection
        read_proposed,   ///< get_object: the proposed document, as stored
        accept,          ///< transact: head, change and log atomically
    };

    acceptance_step on_head(const platform_reply& reply);
    acceptance_step on_change(const platform_reply& reply);
    acceptance_step on_accepted(const platform_reply& reply);
    acceptance_step on_stored(const platform_reply& reply);
    acceptance_step on_written(const platform_reply& reply);
    acceptance_step on_proposed(const platform_reply& reply);
    acceptance_step on_transacted(const platform_reply& reply);

    acceptance_step authorise();
    acceptance_step execute(const propose_command& request);
    acceptance_step execute(const approve_command& request);
    acceptance_step execute(const reject_command& request);
    acceptance_step execute(const settle_command& request);
    acceptance_step write_change();
    acceptance_step read_proposed();
    acceptance_step accept(std::vector<base::operator_id> approvers);

    /// Empty when the write took effect, else the next step.
    std::optional<acceptance_step> write_failure(const platform_reply& reply);
    acceptance_step ended_result() const;
    acceptance_step issue(stage next_stage, platform_action action);
    /// Reads everything again after a conflict or a lost reply.
    acceptance_step restart(base::errc reason);
    acceptance_step fail(base::errc code, std::string message) const;
    acceptance_step platform_failure() const;
    acceptance_step finish() const;

    command command_;
    acceptance_options options_;
    stage stage_ = stage::head;
    std::uint32_t rounds_ = 0;
    /// A write of this command has, or may have, taken effect.
    bool may_have_written_ = false;

    // State read since the last restart.
    head_record head_;
    std::optional<std::uint64_t> head_rev_;
    change_record change_;
    std::optional<std::uint64_t> change_rev_;
    accepted_state accepted_;

    /// The operator who issued the command; set once looked up in the accepted configuration.
    std::optional<operator_account> actor_;
    std::uint32_t approvals_ = 0;
    std::uint32_t required_ = 0;
};

}  // namespace caraway::config
