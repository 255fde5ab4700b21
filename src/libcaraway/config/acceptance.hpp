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

/// How far a command has brought a change.
struct acceptance_result
{
    change_record change;
    /// Approvals by others that count, and how many the rules ask for.
    std::uint32_t approvals = 0;
    std::uint32_t required = 0;
    /// The version that the change became.
    std::optional<base::config_version> accepted_version;
};

struct acceptance_options
{
    bootstrap_options bootstrap;
    /// The newest version that this router knows of. A head older than that is a store that has
    /// lost writes: it is refused, so that a configuration never reverts.
    base::config_version newest_known{};
    /// Conflicts and lost replies that are resolved before giving up.
    std::uint32_t max_rounds = 8;
};

/// What comes next: an action to carry out, or the end of the command.
using acceptance_step = std::variant<platform_action, acceptance_result, base::error>;

/// Carries out one command against the platform: a state machine that asks for one action at a
/// time and is done when it gives a result or an error. Several routers may run commands on the
/// same change at the same time, and a command may be repeated after a crash at any point: every
/// write is conditional, and a lost reply is resolved by reading what is there.
///
/// Errors: `conflict` (the base is no longer the accepted version, or the change has ended),
/// `permission_denied`, `unauthenticated`, `invalid_argument`, `not_found`, `corrupt`,
/// `unavailable` (nothing was written), `unknown_effect` (repeat the same command to find out).
class acceptance
{
public:
    acceptance(command asked, acceptance_options options);

    /// The first action.
    acceptance_step begin();
    /// Takes the reply to the action that the last step asked for, and gives the next one.
    acceptance_step handle(const platform_reply& reply);

private:
    /// What the reply that is awaited answers.
    enum class stage
    {
        head,            ///< read_row: which version is accepted
        change,          ///< read_row: what is known of this change
        accepted,        ///< get_object: the accepted document, for its operators and rules
        store_proposed,  ///< put_object: the proposed document
        write_change,    ///< put_row: the change, an approval, or its rejection
        read_proposed,   ///< get_object: the proposed document, as stored
        accept,          ///< transact: head, change and log at once
    };

    acceptance_step on_head(const platform_reply& reply);
    acceptance_step on_change(const platform_reply& reply);
    acceptance_step on_accepted(const platform_reply& reply);
    acceptance_step on_stored(const platform_reply& reply);
    acceptance_step on_written(const platform_reply& reply);
    acceptance_step on_proposed(const platform_reply& reply);
    acceptance_step on_transacted(const platform_reply& reply);

    acceptance_step authorise();
    acceptance_step carry_out(const propose_command& asked);
    acceptance_step carry_out(const approve_command& asked);
    acceptance_step carry_out(const reject_command& asked);
    acceptance_step carry_out(const settle_command& asked);
    acceptance_step write_change();
    acceptance_step read_proposed();
    acceptance_step accept(std::vector<base::operator_id> approvers);

    /// Nothing when a write took effect, else what comes next.
    std::optional<acceptance_step> write_failure(const platform_reply& reply);
    acceptance_step ended() const;
    acceptance_step ask(stage next_stage, platform_action action);
    /// Reads all anew, after a conflict or a lost reply.
    acceptance_step again(base::errc reason);
    acceptance_step fail(base::errc code, std::string message) const;
    acceptance_step no_answer() const;
    acceptance_step done() const;

    command asked_;
    acceptance_options options_;
    stage stage_ = stage::head;
    std::uint32_t rounds_ = 0;
    /// A write of this command has, or may have, taken effect.
    bool may_have_written_ = false;

    // What was read in this round.
    head_record head_;
    std::optional<std::uint64_t> head_rev_;
    change_record change_;
    std::optional<std::uint64_t> change_rev_;
    accepted_state accepted_;

    /// Set once the accepted configuration has told who asks.
    std::optional<operator_account> actor_;
    std::uint32_t approvals_ = 0;
    std::uint32_t required_ = 0;
};

}  // namespace caraway::config
